# All instances lose power while a step of 640 tasks with checkpoints runs.
use strict;
use warnings;
use Time::HiRes qw(time sleep);
use Lab;

my $id = '00000000000000c1';
Lab::begin('.');
Lab::start_platform(8, 'cpu=32000');
Lab::configure(1, q => {});
Lab::start_entry($_) for qw(one two three);
Lab::all_ready() or Lab::cannot('not ready');
Lab::wait_for(10, sub { defined Lab::owner() }) or Lab::cannot('no owner');
my $step = {count => 640, cpu => 400, memMb => 100, estimateMs => 20000,
  checkpoint => JSON::PP::true};
Lab::wait_for(10, sub {
  (Lab::call($Lab::entry{one}{front}, 'POST', '/q/00000000000000aa',
    {spec => 'ms=100', steps => [{count => 1, cpu => 100, memMb => 10}]}, 3000,
    $Lab::client_headers) // 0) == 200;
}) or Lab::cannot('no submission is accepted');
(Lab::client('one', 'POST', "/q/$id", {spec => 'ms=20000 save=4000', steps => [$step]}) // 0)
  == 200 or Lab::cannot('not accepted');
my $began = time;
Lab::wait_for(10, sub { @{Lab::truth($id)} == 640 }) or Lab::cannot('it does not start');
sleep 3;
if ($Lab::trouble) {
  Lab::note('all instances lose power');
  kill 'KILL', map { $_->{pid} } values %Lab::entry;
  sleep 9.5;
  Lab::note('all instances are back');
  Lab::start_entry($_) for qw(one two three);
  Lab::all_ready() or Lab::note('not all are ready');
}
my $back = time;
my ($completed, $accepted, $refused) = (0, 0, 0);
my $n = 0;
while (time < $back + 45 && !$completed) {
  sleep 1;
  my ($status, $body) = Lab::call($Lab::entry{one}{front}, 'GET', "/q/$id", undef, 3000,
    $Lab::client_headers);
  $completed = 1 if ($body // '') =~ /completed/;
  next if time < $back + 15;
  ++$n;
  my $name = sprintf '/q/%016x', 0xd000 + $n;
  ($status) = Lab::call($Lab::entry{two}{front}, 'POST', $name,
    {spec => 'ms=100', steps => [{count => 1, cpu => 100, memMb => 10}]}, 3000,
    $Lab::client_headers);
  Lab::note("client gets " . ($status // 'no answer') . " for POST $name");
  ($status // 0) == 200 ? ++$accepted : ++$refused;
}
Lab::client('one', 'GET', "/q/$id");
my $runs = Lab::truth($id);
Lab::note(scalar(@$runs) . ' runs: ' . join ', ', map {
  my $how = $_;
  "$how " . grep { $_->{how} eq $how } @$runs;
} qw(done lapsed stopped), '');
Lab::note(scalar(grep { $_->{began_ms} / 1000 > $back } @$runs) . ' began since the instances are back');
my (undef, $body) = Lab::call($Lab::store_port, 'GET', '/too_large');
Lab::note("the store has refused appends as too large: $body");
Lab::note("from 15 s after that on: $accepted submissions accepted, $refused not");
Lab::finish($completed ? 0 : 1);
