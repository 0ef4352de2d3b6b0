# A submission whose POST is held up in a frozen instance, cancelled meanwhile.
use strict;
use warnings;
use Time::HiRes qw(time sleep);
use Lab;

use constant CANCEL_S => 3.0;    # cancel_ms
my $id = '00000000000000c1';
Lab::begin('.');
Lab::start_platform(2);
Lab::configure(1, q => {});
Lab::start_entry($_) for qw(one two three);
Lab::all_ready() or Lab::cannot('not ready');
Lab::wait_for(10, sub { defined Lab::owner() }) or Lab::cannot('no owner');
Lab::wait_for(10, sub {
  (Lab::call($Lab::entry{one}{front}, 'POST', '/q/00000000000000aa',
    {spec => 'ms=100', steps => [{count => 1, cpu => 100, memMb => 10}]}, 3000,
    $Lab::client_headers) // 0) == 200;
}) or Lab::cannot('no submission is accepted');
my $owner = Lab::owner();
my ($frozen, $other) = grep { $_ ne $owner } qw(one two three);
Lab::note("the owner is $owner, the instance that freezes is $frozen");

my $socket = Lab::tcp($Lab::entry{$frozen}{front}) or Lab::cannot('no connection');
Lab::send_call($socket, 'GET', '/q/', undef, $Lab::client_headers);
Lab::read_answer($socket, 3000) or Lab::cannot('no answer');
my $sent = time;
Lab::freeze($frozen) if $Lab::trouble;
my @steps = map {
  {count => 1, cpu => 100, memMb => 10, estimateMs => 2000,
    ($_ > 0 ? (dependsOn => [$_ - 1]) : ())}
} 0 .. 4;
Lab::note("client sends POST /q/$id to $frozen");
Lab::send_call($socket, 'POST', "/q/$id", {spec => 'ms=2000', steps => \@steps},
  $Lab::client_headers);
my ($status) = Lab::read_answer($socket, 2950 - 1000 * (time - $sent));
Lab::note('client gets ' . ($status // 'no answer') . " for POST /q/$id and leaves");
close $socket;
my $cancelled = Lab::client($other, 'DELETE', "/q/$id") // 0;
$cancelled == 200 || $cancelled == 410 or Lab::cannot('the cancelling is not acknowledged');
my $acknowledged = time;
Lab::sleep_until($sent + 3.1);
Lab::wake($frozen) if $Lab::trouble;
Lab::sleep_until($acknowledged + 12);
Lab::client($other, 'GET', "/q/$id");
Lab::client($owner, 'GET', "/q/$id");
my $runs = Lab::truth($id);
Lab::note_runs($runs);
my @late = grep { $_->{began_ms} / 1000 > $acknowledged + CANCEL_S } @$runs;
Lab::note(@late . ' starts later than cancel_ms after the acknowledged cancelling');
Lab::finish(@late ? 1 : 0);
