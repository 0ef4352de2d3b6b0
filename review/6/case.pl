# An entry of another writer among those of the runners, with a long label.
use strict;
use warnings;
use Time::HiRes qw(time sleep);
use Lab;

use constant FINISH_S => 14;    # finish_s
my $id = '00000000000000c1';
Lab::begin('.');
Lab::start_platform(8, 'cpu=32000');
Lab::configure(1, q => {});
Lab::start_entry($_) for qw(one two three);
Lab::all_ready() or Lab::cannot('not ready');
Lab::wait_for(10, sub { defined Lab::owner() }) or Lab::cannot('no owner');
my @step = (count => 2, cpu => 1000, memMb => 10, estimateMs => 4000);
Lab::wait_for(10, sub {
  (Lab::call($Lab::entry{one}{front}, 'POST', '/q/00000000000000aa',
    {spec => 'ms=100', steps => [{@step}]}, 3000, $Lab::client_headers) // 0) == 200;
}) or Lab::cannot('no submission is accepted');
(Lab::client('one', 'POST', "/q/$id",
  {spec => 'ms=4000', steps => [{@step}, {@step, dependsOn => [0]}]}) // 0) == 200
  or Lab::cannot('not accepted');
my $sent = time;
Lab::wait_for(10, sub { @{Lab::truth($id)} == 2 }) or Lab::cannot('it does not start');
if ($Lab::trouble) {
  my $entry = $Lab::json->encode({
    service => 'another', address => '127.0.0.1:9', zone => 'a', state => 'ready',
    sequence => 1, born => 1, capacity => {cpu => 1, memMb => 1, gpu => 0},
    labels => ['another', 'x' x 150_000]});
  Lab::control(entry => 'another-1', value => $entry);
  Lab::note('another writer puts an entry of ' . length($entry)
    . ' bytes, of a service that no configuration names');
}
my ($accepted, $refused) = (0, 0);
for my $n (1 .. 10) {
  Lab::sleep_until($sent + 4 + $n);
  my $path = sprintf '/q/%016x', 0xd000 + $n;
  my ($status, $body) = Lab::call($Lab::entry{two}{front}, 'POST', $path,
    {spec => 'ms=100', steps => [{@step}]}, 3000, $Lab::client_headers);
  Lab::note('client gets ' . ($status // 'no answer') . ' ' . ($body // '') . " for POST $path");
  ($status // 0) == 200 ? ++$accepted : ++$refused;
}
my $traffic_ended = time;
Lab::note("the traffic ends; of the last 10 submissions $accepted were accepted");
Lab::sleep_until($traffic_ended + FINISH_S);
my ($idle, $most, $last) = (0, 0, time);
while (time < $traffic_ended + FINISH_S + 10) {
  sleep 0.5;
  my $running = grep { $_->{how} eq '' } @{Lab::truth($id)};
  $idle = $running ? 0 : $idle + time - $last;
  $most = $idle if $idle > $most;
  $last = time;
}
my (undef, $state) = Lab::client('one', 'GET', "/q/$id");
Lab::note_runs(Lab::truth($id));
my (undef, $body) = Lab::call($Lab::store_port, 'GET', '/too_large');
Lab::note("the store has refused appends as too large: $body");
my $completed = ($state // '') =~ /completed/;
Lab::note(sprintf "from finish_s on nothing of %s ran for %.1f s, with all runners idle", $id, $most)
  unless $completed;
Lab::finish(!$completed && $most > 3 ? 1 : 0);
