# What the scripts of the cases share: starts the platform's stand-in and the
# system's processes on loopback, calls them as a client, keeps the record, and
# ends every process that it started.
package Lab;
use strict;
use warnings;
use Cwd qw(abs_path);
use File::Basename qw(dirname);
use File::Path qw(remove_tree);
use File::Temp qw(tempdir);
use IO::Select;
use IO::Socket::INET;
use JSON::PP;
use POSIX qw(:sys_wait_h);
use Time::HiRes qw(time sleep);

our $root = abs_path(dirname(__FILE__) . '/../..');
our $json = JSON::PP->new->utf8->canonical;
our $trouble = ($ENV{TROUBLE} // '1') ne '0';
our ($folder, $store_port, %entry, @started, $record, $began);
my $main_pid = $$;

sub begin {
  ($folder) = @_;
  $began = time;
  $Lab::tmp = tempdir('review-XXXXXX', TMPDIR => 1);
  open $record, '>', "$folder/record.txt" or cannot("record.txt: $!");
  $record->autoflush(1);
  $SIG{INT} = $SIG{TERM} = sub { finish(2) };
  $SIG{ALRM} = sub { note('out of time'); finish(2) };
  $SIG{PIPE} = 'IGNORE';
  alarm 115;
  note('with the disruption: ' . ($trouble ? 'yes' : 'no'));
}

sub note {
  my $line = sprintf "%8.3f %s", time - $began, join(' ', @_);
  print $record "$line\n";
  print "$line\n";
}

sub cannot { note("cannot run: @_"); finish(2); }

sub finish {
  my ($code) = @_;
  alarm 0;
  kill 'CONT', @started if @started;
  kill 'KILL', @started if @started;
  waitpid $_, 0 for @started;
  @started = ();
  remove_tree($Lab::tmp) if $Lab::tmp;
  note("exit $code") if $record;
  exit $code;
}

# Stops a process, and waits until all its threads stand.
sub freeze {
  my ($name) = @_;
  my $pid = $entry{$name}{pid};
  kill 'STOP', $pid;
  wait_for(1, sub {
    for my $file (glob "/proc/$pid/task/*/stat") {
      open my $in, '<', $file or next;
      return 0 if <$in> !~ /\) T /;
    }
    return 1;
  }) or cannot("$name does not stop");
  note("$name freezes");
}

sub wake {
  my ($name) = @_;
  kill 'CONT', $entry{$name}{pid};
  note("$name wakes");
}

# A script that dies could not run, and leaves no process behind.
END {
  if (@started && $$ == $main_pid) {
    kill 'CONT', @started;
    kill 'KILL', @started;
    remove_tree($Lab::tmp) if $Lab::tmp;
    $? = 2;
  }
}

# A range of free ports, from a random place.
sub free_ports {
  my ($count) = @_;
  for (1 .. 200) {
    my $at = 20000 + int rand 9000;
    my @held;
    for my $n (0 .. $count - 1) {
      my $socket = IO::Socket::INET->new(
        LocalAddr => '127.0.0.1', LocalPort => $at + $n, Listen => 1) or last;
      push @held, $socket;
    }
    return $at if @held == $count;
  }
  cannot('no free ports');
}

sub spawn {
  my ($log, $env, @command) = @_;
  my $pid = fork // cannot("fork: $!");
  if (!$pid) {
    open STDOUT, '>', "$Lab::tmp/$log" or exit 127;
    open STDERR, '>&', \*STDOUT;
    chdir $root;
    %ENV = (PATH => $ENV{PATH}, HOME => $ENV{HOME} // '/', %$env);
    exec @command or exit 127;
  }
  push @started, $pid;
  return $pid;
}

sub start_platform {
  my ($runners, @options) = @_;
  # Another process may have taken one of the ports since.
  for (1 .. 5) {
    $store_port = free_ports($runners + 1);
    my $pid = spawn('platform.log', {}, 'perl', "$root/review/stand-2/platform.pl",
      $store_port, $runners, @options);
    my $ended = 0;
    wait_for(5, sub { $ended = waitpid($pid, WNOHANG); $ended || tcp($store_port) });
    return if !$ended && tcp($store_port);
    if ($ended) { @started = grep { $_ != $pid } @started; }
  }
  cannot('the platform does not start');
}

sub tcp { return IO::Socket::INET->new(PeerAddr => '127.0.0.1', PeerPort => $_[0]); }

sub wait_for {
  my ($seconds, $test) = @_;
  my $until = time + $seconds;
  while (time < $until) {
    return 1 if $test->();
    sleep 0.02;
  }
  return 0;
}

# Starts the command of the deploy file with settings from its template.
sub start_entry {
  my ($name, %with) = @_;
  my $it = $entry{$name} //= do {
    my $at = free_ports(20);
    {name => $name, front => $at, ready => $at + 1, mesh => $at + 2};
  };
  my %value = (
    nodeName => $name, zone => 'a', ip => '127.0.0.1', advice => '',
    'limits.cpuShare' => 0.25, 'limits.cores' => 1, 'limits.maxFds' => 4100,
    'limits.memoryMb' => 260, 'listen.front' => "127.0.0.1:$it->{front}",
    'listen.ready' => "127.0.0.1:$it->{ready}", 'portRange.0' => $it->{mesh},
    'platform.address' => "127.0.0.1:$store_port", 'platform.ttlMinMs' => 1000,
    'platform.callBytes' => 2097152, 'timingBounds.holdMaxMs' => 10000,
    'timingBounds.revokeMs' => 5000, 'timingBounds.graceS' => 6,
    'timingBounds.status_s' => 120, 'timingBounds.farX' => 3, %with);
  my ($run, $template) = ('', '');
  open my $deploy, '<', "$root/deploy/system.toml" or cannot("deploy file: $!");
  while (my $line = <$deploy>) {
    $run = $1 if $line =~ /^run = "(.*)"/;
    $template = $1 if $line =~ /^template = "(.*)"/;
  }
  open my $in, '<', "$root/$template" or cannot("template: $!");
  my $text = do { local $/; <$in> };
  $text =~ s/\{\{([^}]+)\}\}/$value{$1} \/\/ ''/ge;
  open my $out, '>', "$Lab::tmp/$name.ini" or cannot("settings: $!");
  print $out $text;
  close $out;
  $it->{log} = "$name-" . ++$it->{lives} . '.log';
  $it->{pid} = spawn($it->{log}, {BILBERRYWING_BOOT => "$Lab::tmp/$name.ini"},
    split ' ', $run);
  return $it;
}

sub all_ready {
  my @names = @_ ? @_ : sort keys %entry;
  return wait_for(15, sub {
    !grep { (call($entry{$_}{ready}, 'GET', '/v1/ready', undef, 1000) // 0) != 200 } @names;
  });
}

# Name of the process that owns the cell, from the store's group.
sub owner {
  my ($status, $body) = call($store_port, 'GET', '/v1/log-owners?group=bilberrywing-cell');
  return undef if ($status // 0) != 200;
  my $rows = $json->decode($body)->{parts};
  return @$rows ? (split /\|/, $rows->[0][2])[0] : undef;
}

# One call over one connection. Returns status and body; nothing without an
# answer within the time.
sub call {
  my ($port, $method, $path, $body, $ms, $headers) = @_;
  my $socket = tcp($port) or return;
  send_call($socket, $method, $path, $body, $headers);
  return read_answer($socket, $ms // 3000);
}

sub send_call {
  my ($socket, $method, $path, $body, $headers) = @_;
  $body = $json->encode($body) if ref $body;
  $body //= '';
  print $socket "$method $path HTTP/1.1\r\nHost: h.example\r\n"
    . "Content-Type: application/json\r\nContent-Length: " . length($body) . "\r\n"
    . ($headers // '') . "\r\n$body";
  $socket->flush;
}

sub read_answer {
  my ($socket, $ms) = @_;
  my $select = IO::Select->new($socket);
  my $until = time + $ms / 1000;
  my $in = '';
  while (time < $until) {
    next unless $select->can_read($until - time);
    return unless sysread $socket, $in, 1 << 20, length $in;
    next unless $in =~ /\r\n\r\n/;
    my $head = substr $in, 0, $-[0];
    my $rest = substr $in, $+[0];
    my $length = $head =~ /^content-length:\s*(\d+)/mi ? $1 : 0;
    next if length $rest < $length;
    my ($status) = $head =~ /^HTTP\S+ (\d+)/;
    return wantarray ? ($status, substr $rest, 0, $length) : $status;
  }
  return;
}

sub control { call($store_port, 'POST', '/control', {@_}) == 200 or cannot('control'); }

# Keys "key-t" and "key-u" of tenants "t" and "u", routes "h.example/NAME/" with
# their options.
sub configure {
  my ($version, %routes) = @_;
  control(config => {
    version => $version,
    services => [{name => 's', admissionCheck => JSON::PP::false}],
    limits => {maxBodyBytes => 262144},
    tenants => [map { {name => $_, apiKeys => ["key-$_"], weight => 1000,
      maximum => {cpu => 0, memMb => 0, gpu => 0}} } qw(t u)],
    routes => [map { {
      name => $_, host => 'h.example', pathPrefix => "/$_/", service => 's',
      priority => 1, maxAttempts => 3, stretch => 4, targetLatencyMs => 3000,
      timeoutMs => 3000, %{$routes{$_}}} } sort keys %routes]});
}

our $other_headers = "Bilberrywing-Credential: key-u\r\nBilberrywing-Deadline-Ms: 3000\r\n";
our $client_headers = "Bilberrywing-Credential: key-t\r\nBilberrywing-Deadline-Ms: 3000\r\n";

# A client's call, noted in the record.
sub client {
  my ($name, $method, $path, $body) = @_;
  note("client sends $method $path to $name");
  my ($status, $text) =
    call($entry{$name}{front}, $method, $path, $body, 3000, $client_headers);
  note("client gets " . (defined $status ? "$status $text" : 'no answer')
    . " for $method $path");
  return wantarray ? ($status, $text) : $status;
}

sub truth {
  my ($status, $body) = call($store_port, 'GET', '/truth', undef, 5000);
  cannot('no truth') if ($status // 0) != 200;
  my $rows = $json->decode($body);
  return [grep { !@_ || $_->{task} =~ /^$_[0]/ } @$rows];
}

sub note_runs {
  for my $it (@{$_[0]}) {
    note(sprintf "run %s #%d on %s from %.3f%s%s", $it->{task}, $it->{run}, $it->{runner},
      $it->{began_ms} / 1000 - $began,
      $it->{ended_ms} ? sprintf(' to %.3f, %s', $it->{ended_ms} / 1000 - $began, $it->{how}) : '',
      $it->{saved} ne '' ? ", with saved $it->{saved}" : '');
  }
}

# Lines of a process's log that name an event.
sub events {
  my ($name, $event) = @_;
  my @out;
  for my $life (1 .. $entry{$name}{lives}) {
    open my $in, '<', "$Lab::tmp/$name-$life.log" or next;
    while (my $line = <$in>) { push @out, $line if $line =~ /"event":"$event"/; }
  }
  return @out;
}

sub sleep_until {
  my ($when) = @_;
  my $left = $when - time;
  sleep $left if $left > 0;
}

1;
