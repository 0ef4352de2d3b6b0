# Starts that a frozen relay holds up, and runners that start again under their
# ids meanwhile.
use strict;
use warnings;
use List::Util qw(max min);
use Time::HiRes qw(time sleep);
use Lab;

use constant RUNNERS => 70;    # An owner of more than 64 uses relays.
use constant CRASHES => 9;     # 0.13 of them.
my $id = '00000000000000c1';
Lab::begin('.');
Lab::start_platform(RUNNERS);
Lab::configure(1, q => {});
Lab::start_entry($_) for qw(one two three);
Lab::all_ready() or Lab::cannot('not ready');
Lab::wait_for(10, sub { defined Lab::owner() }) or Lab::cannot('no owner');
my $owner = Lab::owner();
Lab::wait_for(15, sub {
  my @chosen = Lab::events($owner, 'relays_chosen');
  return @chosen && $chosen[-1] =~ /"a":2/;
}) or Lab::cannot('no relays');
# Work of an ordinary kind, over which the owner connects to its relays.
for my $n (1 .. 3) {
  my $step = {count => RUNNERS, cpu => 4000, memMb => 10, estimateMs => 200, antiAffinity => 1};
  Lab::client($owner, 'POST', "/q/00000000000000a$n", {spec => 'ms=200', steps => [$step]});
  sleep 1.5;
}
Lab::owner() eq $owner or Lab::cannot('the owner has changed');
my ($relay) = grep { $_ ne $owner } qw(one two three);
Lab::note("the owner is $owner, the instance that freezes is $relay");

my $began = time;
Lab::freeze($relay) if $Lab::trouble;
# Each task fills a runner; half of the runners stay free.
my $step = {count => RUNNERS / 2, cpu => 8000, memMb => 10, estimateMs => 8000};
(Lab::client($owner, 'POST', "/q/$id", {spec => 'ms=8000', steps => [$step]}) // 0) == 200
  or Lab::cannot('not accepted');
Lab::sleep_until($began + 1.8);
if ($Lab::trouble) {
  # Starts that began late had been sent by the frozen relay first.
  my @late = map { $_->{runner} =~ /(\d+)/ }
    grep { $_->{began_ms} / 1000 > $began + 0.2 } @{Lab::truth($id)};
  splice @late, CRASHES if @late > CRASHES;
  @late or Lab::cannot('no start was held up');
  Lab::control(runner => $_ + 0, crash => JSON::PP::true) for @late;
  Lab::note("these runners crash and start again under their ids: @late");
}
Lab::sleep_until($began + 3.5);
Lab::wake($relay) if $Lab::trouble;
Lab::sleep_until($began + 25);
Lab::client($owner, 'GET', "/q/$id");
my $runs = Lab::truth($id);
Lab::note_runs($runs);
my $twice = 0;
for my $n (0 .. $#$runs) {
  for my $m ($n + 1 .. $#$runs) {
    my ($one, $two) = @$runs[$n, $m];
    next if $one->{task} ne $two->{task};
    my $from = max($one->{began_ms}, $two->{began_ms});
    my $to = min(map { $_->{ended_ms} // 9e15 } $one, $two);
    next if $to <= $from;
    ++$twice;
    Lab::note(sprintf 'two runs of %s at the same time for %d ms: #%d on %s, #%d on %s',
      $one->{task}, $to - $from, $one->{run}, $one->{runner}, $two->{run}, $two->{runner});
  }
}
my %done;
++$done{$_->{task}} for grep { $_->{how} eq 'done' } @$runs;
Lab::note("$twice tasks had two runs at the same time, "
  . (grep { $_ > 1 } values %done) . ' were done twice');
Lab::finish($twice ? 1 : 0);
