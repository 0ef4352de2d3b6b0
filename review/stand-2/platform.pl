#!/usr/bin/perl
# Stand-in for the users' platform: the store (a log), the advice service (not
# used) and backend servers ("runners"), each on its own loopback port.
#
#   platform.pl PORT RUNNERS [NAME=VALUE...]
#
# The store listens on 127.0.0.1:PORT, runner N on PORT+1+N. Options:
#   cpu=MILLICORES  stop_ms=N  hold_max_ms=N  gang_ms=N  save_ms=N
#   record_bytes=N  call_bytes=N  racks=N
#
# POST /control on the store's port:
#   {"config":{...}}            the operator writes op/config
#   {"entry":ID,"value":TEXT}   another writer puts servers/ID
#   {"runner":N,"cut":true}     calls to the runner get no answer
#   {"runner":N,"crash":true}   the runner crashes and starts again under its id
#   {"runner":N,"gone":true}    the runner crashes and is lost for good
# GET /truth: all runs that the runners began, in order, and how they ended.
# GET /too_large: how many appends were beyond the limits of the store.
#
# A submission's spec tells how its tasks behave, in words NAME=VALUE:
#   ms (work of a task, 0: lasts until stopped), gang (members), save (length
#   of a checkpoint in bytes, 0: none).
use strict;
use warnings;
use IO::Select;
use IO::Socket::INET;
use JSON::PP;
use MIME::Base64;
use Socket qw(IPPROTO_TCP TCP_NODELAY);
use Time::HiRes qw(clock_gettime CLOCK_MONOTONIC time);

$| = 1;
$SIG{PIPE} = 'IGNORE';
my ($port, $count, @options) = @ARGV;
my %opt = (
  cpu => 8000, stop_ms => 400, hold_max_ms => 10000, gang_ms => 3000,
  save_ms => 500, record_bytes => 262144, call_bytes => 2097152, racks => 1);
for (@options) { my ($k, $v) = split /=/; $opt{$k} = $v; }
my $json = JSON::PP->new->utf8->canonical;

sub now_ms { return int(clock_gettime(CLOCK_MONOTONIC) * 1000); }
sub wall_ms { return int(time() * 1000); }

# ---- HTTP ----
my $select = IO::Select->new;
my (%listener, %conn);    # By file number.

sub listen_on {
  my ($at, $handler) = @_;
  my $socket = IO::Socket::INET->new(
    LocalAddr => '127.0.0.1', LocalPort => $at, Listen => 512,
    ReuseAddr => 1, Blocking => 0) or die "listen $at: $!\n";
  $select->add($socket);
  $listener{fileno $socket} = $handler;
}

sub respond {
  my ($c, $status, $body, $type) = @_;
  return unless $c->{open};
  $body = $json->encode($body) if ref $body;
  $type //= 'application/json';
  $c->{out} .= "HTTP/1.1 $status X\r\nContent-Type: $type\r\nContent-Length: "
    . length($body) . "\r\n\r\n$body";
  flush_out($c);
}

sub flush_out {
  my ($c) = @_;
  while (length $c->{out}) {
    my $n = syswrite $c->{socket}, $c->{out};
    if (!defined $n) {
      close_conn($c) unless $!{EAGAIN} || $!{EWOULDBLOCK};
      return;
    }
    substr($c->{out}, 0, $n, '');
  }
}

sub close_conn {
  my ($c) = @_;
  return unless $c->{open};
  $c->{open} = 0;
  delete $conn{$c->{fd}};
  $select->remove($c->{socket});
  close $c->{socket};
}

sub read_conn {
  my ($c) = @_;
  my $n = sysread $c->{socket}, $c->{in}, 1 << 20, length $c->{in};
  return if !defined $n && ($!{EAGAIN} || $!{EWOULDBLOCK});
  return close_conn($c) unless $n;
  while ($c->{open} && $c->{in} =~ /\r\n\r\n/) {
    my $head = substr $c->{in}, 0, $-[0];
    my $at = $+[0];
    my $length = $head =~ /^content-length:\s*(\d+)/mi ? $1 : 0;
    return if length($c->{in}) < $at + $length;
    my $body = substr $c->{in}, $at, $length;
    substr($c->{in}, 0, $at + $length, '');
    my ($method, $target) = $head =~ /^(\S+) (\S+)/;
    my ($path, $query) = split /\?/, $target, 2;
    my %query;
    for (split /&/, $query // '') {
      my ($k, $v) = split /=/, $_, 2;
      $v //= '';
      $v =~ s/%([0-9A-Fa-f]{2})/chr hex $1/ge;
      $query{$k} = $v;
    }
    my ($instance) = $head =~ /^bilberrywing-expect-instance:\s*(\S+)/mi;
    $c->{handler}->($c, $method, $path, \%query, $body, $instance);
  }
}

# ---- The store ----
my %topic;       # NAME/PART => {records, newest, producers}
my @reads;       # Long polls.
my $too_large = 0;    # Appends beyond the limits of the store.
my %group;

sub partition {
  my ($name, $part) = @_;
  return $topic{"$name/$part"} //=
    {records => [], newest => {}, producers => {}, keyed => $name =~ /^keyed\./};
}

sub store_records {
  my ($p, @records) = @_;
  for (@records) {
    push @{$p->{records}}, $_;
    next unless $p->{keyed};
    my $length = ord substr $_, 0, 1;
    my $key = substr $_, 1, $length;
    my $value = substr $_, 1 + $length;
    if (length $value) {
      $p->{newest}{$key} = [$value, $#{$p->{records}}];
    } else {
      delete $p->{newest}{$key};
    }
  }
}

sub put {
  my ($name, $key, $value) = @_;
  store_records(partition($name, 0), chr(length $key) . $key . $value);
  finish_reads();
}

sub append_call {
  my ($c, $q, $body) = @_;
  my $p = partition($q->{topic}, $q->{part} // 0);
  my (@records, $at);
  for ($at = 0; $at + 4 <= length $body;) {
    my $n = unpack 'N', substr $body, $at, 4;
    push @records, substr $body, $at + 4, $n;
    $at += 4 + $n;
  }
  my $total = 0;
  $total += length for @records;
  if ($total > $opt{call_bytes} || grep { length > $opt{record_bytes} } @records) {
    ++$too_large;
    return respond($c, 400, {reason => 'size'});
  }
  if (defined $q->{producer}) {
    my $producer = $p->{producers}{$q->{producer}} //= {epoch => -1};
    return respond($c, 409, {reason => 'fenced'}) if $q->{epoch} < $producer->{epoch};
    if ($q->{epoch} > $producer->{epoch}) {
      %$producer = (epoch => $q->{epoch}, next => undef, first => {});
    }
    if (@records) {
      my $n = $q->{sequence};
      return respond($c, 200, $producer->{first}{$n}) if $producer->{first}{$n};
      if (defined $producer->{next} && $n != $producer->{next}) {
        return respond($c, 409, {reason => 'seq', sequence => $producer->{next}});
      }
      $producer->{next} = $n + 1;
      $producer->{first}{$n} = {
        offset => scalar @{$p->{records}}, end => @{$p->{records}} + @records};
      delete $producer->{first}{$n - 5};
      store_records($p, @records);
      respond($c, 200, $producer->{first}{$n});
      return finish_reads();
    }
  } else {
    store_records($p, @records);
    finish_reads();
  }
  respond($c, 200, {offset => scalar @{$p->{records}}, end => scalar @{$p->{records}}});
}

sub finish_reads {
  my @later;
  for my $r (@reads) {
    my $p = partition($r->{topic}, $r->{part});
    my $end = @{$p->{records}};
    if ($r->{from} >= $end && now_ms() < $r->{until}) {
      push @later, $r;
      next;
    }
    my $out = pack('Q>Q>', $end, 0);
    for (my $n = $r->{from}; $n < $end && length $out < 1 << 20; ++$n) {
      $out .= pack('N', length $p->{records}[$n]) . $p->{records}[$n];
    }
    respond($r->{c}, 200, $out, 'application/octet-stream');
  }
  @reads = @later;
}

sub newest_call {
  my ($c, $q) = @_;
  my $p = partition($q->{topic}, $q->{part} // 0);
  my @keys = sort keys %{$p->{newest}};
  @keys = grep { $_ gt $q->{dependsOn} } @keys if length($q->{dependsOn} // '');
  my (@items, $bytes);
  $bytes = 0;
  my $more = 0;
  for (@keys) {
    if (@items == 500 || $bytes > 1 << 20) { $more = 1; last; }
    my ($value, $offset) = @{$p->{newest}{$_}};
    $bytes += length $value;
    push @items, {key => $_, value => encode_base64($value, ''), offset => $offset};
  }
  respond($c, 200, {
    items => \@items, more => $more ? JSON::PP::true : JSON::PP::false,
    end => scalar @{$p->{records}}});
}

# Deals the partitions of a group evenly. One that has to leave a member stays
# with it until that member has joined with the new generation.
sub deal {
  my ($g) = @_;
  ++$g->{generation};
  my %by_topic;
  for my $m (sort keys %{$g->{members}}) {
    push @{$by_topic{$_}}, $m for @{$g->{members}{$m}{topics}};
  }
  $g->{target} = {};
  for my $t (keys %by_topic) {
    my @m = @{$by_topic{$t}};
    my $parts = $t =~ /^keyed\./ ? 1 : 24;
    for my $n (0 .. $parts - 1) {
      my $holder = $g->{holder}{"$t/$n"};
      my $keeps = $parts == 1 && defined $holder && grep { $_ eq $holder } @m;
      $g->{target}{"$t/$n"} = $keeps ? $holder : $m[$n % @m];
    }
  }
  settle($g);
}

sub settle {
  my ($g) = @_;
  for my $p (keys %{$g->{holder}}) {
    my $m = $g->{members}{$g->{holder}{$p}};
    my $to = $g->{target}{$p};
    my $moves = !defined $to || $to ne $g->{holder}{$p};
    delete $g->{holder}{$p} if !$m || ($moves && $m->{knows} >= $g->{generation});
  }
  for my $p (keys %{$g->{target}}) {
    $g->{holder}{$p} //= $g->{target}{$p};
  }
}

sub join_call {
  my ($c, $in) = @_;
  my $g = $group{$in->{group}} //= {generation => 0, members => {}, holder => {}};
  my $is_new = !$g->{members}{$in->{member}};
  my $m = $g->{members}{$in->{member}} //= {};
  $m->{topics} = $in->{topics};
  $m->{until} = now_ms() + $in->{ttlMs};
  $m->{knows} = $in->{generation} // 0;
  if ($is_new) { deal($g); } else { settle($g); }
  my @parts;
  for my $p (sort keys %{$g->{holder}}) {
    next if $g->{holder}{$p} ne $in->{member} || ($g->{target}{$p} // '') ne $in->{member};
    my ($t, $n) = $p =~ m{^(.*)/(\d+)$};
    push @parts, [$t, $n + 0, 0];
  }
  respond($c, 200, {generation => $g->{generation}, parts => \@parts});
}

sub leave {
  my ($g, $member) = @_;
  return unless $g && delete $g->{members}{$member};
  deal($g);
}

sub owners_call {
  my ($c, $q) = @_;
  my $g = $group{$q->{group}} // {holder => {}};
  my @rows;
  for my $p (sort keys %{$g->{holder}}) {
    my ($t, $n) = $p =~ m{^(.*)/(\d+)$};
    push @rows, [$t, $n + 0, $g->{holder}{$p}, 0];
  }
  respond($c, 200, {parts => \@rows});
}

# ---- Runners ----
my @runner;
my @truth;
my %gang;    # "STEP RUN" => {present, complete_ms, ended}

sub new_life {
  my ($r) = @_;
  $r->{born} = wall_ms();
  $r->{clock0} = now_ms() - 1000;
  @$r{qw(fence lease next_end sequence)} = (0, 0, 0, 0);
  @$r{qw(running ended barred polls)} = ({}, [], {}, []);
}

# A crash ends all that runs, and nothing lists it.
sub end_all {
  my ($r) = @_;
  for (values %{$r->{running}}) {
    @{$_->{truth}}{qw(ended_ms how)} = (wall_ms(), 'crashed');
    if (my $g = gang_of($_)) {
      delete $g->{present}{$_->{task}};
      $g->{ended} ||= 'crashed' if $g->{complete};
    }
  }
  $r->{running} = {};
}

sub clock { return now_ms() - $_[0]{clock0}; }

sub gang_of {
  my ($run) = @_;
  return undef unless $run->{gang};
  return $gang{"$run->{step} $run->{run}"} //= {present => {}, complete => 0, ended => ''};
}

sub progress {
  my ($run) = @_;
  my $g = gang_of($run);
  my $since = $g ? $g->{complete} : $run->{began};
  return $run->{resumed} + ($since ? now_ms() - $since : 0);
}

# A checkpoint: whose it is, how far, and bytes of it.
sub saved_of {
  my ($run, $all) = @_;
  return '' unless $run->{save};
  my $done = progress($run);
  $done = int($done / $opt{save_ms}) * $opt{save_ms} unless $all;
  return '' if $done <= 0;
  my $head = "$run->{step}|$done|";
  my $left = $run->{save} - length $head;
  return $head . ($left > 0 ? 'x' x $left : '');
}

sub end_run {
  my ($r, $key, $how) = @_;
  my $run = delete $r->{running}{$key} or return;
  my $saved = $how eq 'done' ? '' : saved_of($run, $how eq 'stopped');
  if (my $g = gang_of($run)) {
    delete $g->{present}{$run->{task}};
    $g->{ended} ||= $how if $g->{complete};
  }
  my $barred = $r->{barred}{$run->{task}} // 0;
  $r->{barred}{$run->{task}} = $run->{run} if $run->{run} > $barred;
  push @{$r->{ended}}, [++$r->{next_end}, $run->{task}, $run->{run}, $how, $saved];
  $run->{truth}{ended_ms} = wall_ms();
  $run->{truth}{how} = $how;
}

sub start_call {
  my ($c, $r, $in) = @_;
  my $say = sub { respond($c, 409, {clockMs => clock($r), reason => $_[0]}) };
  return $say->('late') if $in->{deadlineMs} < clock($r);
  extend($r, $in->{deadlineMs});
  my ($task, $run) = @$in{qw(task run)};
  return $say->('old') if ($r->{barred}{$task} // 0) >= $run;
  my $key = "$task $run";
  if (!$r->{running}{$key}) {
    my %words = map { split /=/, $_, 2 } grep { /=/ } split /\s+/, $in->{spec};
    my ($step) = $task =~ /^(.*)\.\d+$/;
    my $saved = $in->{saved} // '';
    my ($whose, $done) = split /\|/, $saved;
    my $truth = {
      task => $task, run => $run, runner => $r->{id}, fence => $in->{fencingToken},
      spec => $in->{spec}, saved => substr($saved, 0, 60), began_ms => wall_ms(), how => ''};
    push @truth, $truth;
    $r->{running}{$key} = {
      task => $task, run => $run, step => $step, began => now_ms(), truth => $truth,
      ms => $words{ms} // 0, gang => $words{gang} // 0, save => $words{save} // 0,
      resumed => $saved ne '' && $whose eq $step ? $done : 0};
    if (my $g = gang_of($r->{running}{$key})) {
      $g->{present}{$task} = $saved;
      $g->{complete} ||= now_ms() if keys %{$g->{present}} == $words{gang};
    }
  }
  respond($c, 200, {clockMs => clock($r)});
}

sub extend {
  my ($r, $until) = @_;
  return unless $until;
  my $most = clock($r) + $opt{hold_max_ms};
  $until = $most if $until > $most;
  $r->{lease} = $until if $until > $r->{lease};
}

sub runner_call {
  my ($r, $c, $path, $body, $instance) = @_;
  return if $r->{cut};
  return close_conn($c) if now_ms() < $r->{down_until};
  $c->{runner} = $r;
  return respond($c, 421, {}) if defined $instance && $instance ne $r->{id};
  my $in = eval { $json->decode($body) } or return respond($c, 400, {});
  if (($in->{fencingToken} // 0) < $r->{fence}) {
    return respond($c, 409, {clockMs => clock($r), reason => 'fence'});
  }
  $r->{fence} = $in->{fencingToken};
  return start_call($c, $r, $in) if $path eq '/v1/run-start';
  if ($path eq '/v1/run-stop') {
    my $key = "$in->{task} $in->{run}";
    if ($r->{running}{$key}) {
      $r->{running}{$key}{stops_at} //= now_ms() + $opt{stop_ms} / 2;
    }
    my $barred = $r->{barred}{$in->{task}} // 0;
    $r->{barred}{$in->{task}} = $in->{run} if $in->{run} > $barred;
    return respond($c, 200, {clockMs => clock($r)});
  }
  if ($path eq '/v1/hold') {
    extend($r, $in->{deadlineMs});
    @{$r->{ended}} = grep { $_->[0] > $in->{ackCursor} } @{$r->{ended}};
    push @{$r->{polls}}, {c => $c, until => now_ms() + ($in->{waitMs} // 0)};
    return finish_polls($r);
  }
  respond($c, 404, {});
}

sub finish_polls {
  my ($r) = @_;
  my @later;
  for my $poll (@{$r->{polls}}) {
    if (!@{$r->{ended}} && now_ms() < $poll->{until}) {
      push @later, $poll;
      next;
    }
    # No text here needs escapes; the library takes long for long checkpoints.
    my @running = map {
      sprintf '["%s",%d,"%s",100,1000]', $_->{task}, $_->{run}, saved_of($_)
    } values %{$r->{running}};
    my @ended = @{$r->{ended}};
    $#ended = 499 if @ended > 500;
    @ended = map { sprintf '[%d,"%s",%d,"%s","%s"]', @$_ } @ended;
    respond($poll->{c}, 200, sprintf '{"clockMs":%d,"born":%d,"running":[%s],"ended":[%s]}',
      clock($r), $r->{born}, join(',', @running), join(',', @ended));
  }
  @{$r->{polls}} = @later;
}

sub tick_runner {
  my ($r) = @_;
  for my $key (keys %{$r->{running}}) {
    my $run = $r->{running}{$key};
    my $g = gang_of($run);
    if (clock($r) > $r->{lease}) {
      end_run($r, $key, 'lapsed');
    } elsif ($run->{stops_at}) {
      end_run($r, $key, 'stopped') if now_ms() >= $run->{stops_at};
    } elsif ($g && $g->{ended}) {
      end_run($r, $key, $g->{ended} eq 'done' ? 'done' : 'broken');
    } elsif ($g && !$g->{complete}) {
      end_run($r, $key, 'alone') if now_ms() > $run->{began} + $opt{gang_ms};
    } elsif ($run->{ms} && progress($run) >= $run->{ms}) {
      end_run($r, $key, 'done');
    }
  }
  finish_polls($r);
}

sub announce {
  for my $r (@runner) {
    if ($r->{unlist_at} && now_ms() >= $r->{unlist_at}) {
      delete $r->{unlist_at};
      put('keyed.servers', $r->{id}, '');
    }
    next if $r->{cut} || now_ms() < $r->{down_until};
    put('keyed.servers', $r->{id}, $json->encode({
      service => 's', address => $r->{address}, zone => 'a', version => '1',
      slots => 8, state => 'ready', coldLeftMs => 0, sequence => ++$r->{sequence},
      born => $r->{born}, labels => ['a', $r->{rack}],
      capacity => {cpu => $opt{cpu} + 0, memMb => 64000, gpu => 0}}));
  }
}

for my $n (0 .. $count - 1) {
  my $at = $port + 1 + $n;
  my $r = {id => "b$n", address => "127.0.0.1:$at", cut => 0, down_until => 0, rack => 'r' . (1 + $n % $opt{racks})};
  new_life($r);
  push @runner, $r;
  listen_on($at, sub {
    my ($c, $method, $path, $q, $body, $instance) = @_;
    runner_call($r, $c, $path, $body, $instance);
  });
}
listen_on($port, sub {
  my ($c, $method, $path, $q, $body) = @_;
  if ($path eq '/v1/log-append') {
    append_call($c, $q, $body);
  } elsif ($path eq '/v1/log-read') {
    push @reads, {c => $c, topic => $q->{topic}, part => $q->{part} // 0,
      from => $q->{from} // 0, until => now_ms() + ($q->{waitMs} // 0)};
    finish_reads();
  } elsif ($path eq '/v1/log-newest') {
    newest_call($c, $q);
  } elsif ($path eq '/v1/log-owners') {
    owners_call($c, $q);
  } elsif ($path eq '/truth') {
    respond($c, 200, \@truth);
  } elsif ($path eq '/too_large') {
    respond($c, 200, {count => $too_large});
  } else {
    my $in = eval { $json->decode($body) } // {};
    if ($path eq '/v1/log-join') {
      join_call($c, $in);
    } elsif ($path eq '/v1/log-leave') {
      leave($group{$in->{group}}, $in->{member});
      respond($c, 200, {});
    } elsif ($path eq '/control') {
      put('keyed.op', 'config', $json->encode($in->{config})) if $in->{config};
      put('keyed.servers', $in->{entry}, $in->{value}) if defined $in->{entry};
      if (defined $in->{runner}) {
        my $r = $runner[$in->{runner}];
        $r->{cut} = $in->{cut} ? 1 : 0 if exists $in->{cut};
        if ($in->{gone}) {
          # Its entry goes after three heartbeats of silence.
          end_all($r);
          $r->{cut} = 1;
          $r->{unlist_at} = now_ms() + 3000;
        }
        if ($in->{crash}) {
          # Its connections end; it is down for a moment.
          end_all($r);
          close_conn($_) for grep { ($_->{runner} // 0) == $r } values %conn;
          new_life($r);
          $r->{down_until} = now_ms() + 300;
        }
      }
      respond($c, 200, {});
    } else {
      respond($c, 404, {});
    }
  }
});

announce();
my $next_announce = now_ms() + 1000;
my $next_tick = 0;
while (1) {
  for my $socket ($select->can_read(0.005)) {
    my $fd = fileno $socket;
    if (my $handler = $listener{$fd}) {
      while (my $in = $socket->accept) {
        $in->blocking(0);
        setsockopt $in, IPPROTO_TCP, TCP_NODELAY, 1;
        my $c = {socket => $in, fd => fileno $in, in => '', out => '',
          open => 1, handler => $handler};
        $conn{$c->{fd}} = $c;
        $select->add($in);
      }
    } elsif (my $c = $conn{$fd}) {
      read_conn($c);
    }
  }
  my $now = now_ms();
  next if $now < $next_tick;
  $next_tick = $now + 10;
  for (values %conn) { flush_out($_) if length $_->{out}; }
  tick_runner($_) for @runner;
  finish_reads();
  for my $g (values %group) {
    for my $m (keys %{$g->{members}}) {
      leave($g, $m) if $g->{members}{$m}{until} < $now;
    }
  }
  if ($now >= $next_announce) {
    $next_announce = $now + 1000;
    announce();
  }
}
