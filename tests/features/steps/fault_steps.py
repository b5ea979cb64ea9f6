"""Steps that inject faults, stop processes and check holds."""

from __future__ import annotations

import msgspec
import trio
from behave import given, then, when
from behave.runner import Context
from whole_path_steps import HOLDS, check_answer, hold

from toucanyard.key_records import ClaimRecord, decode_record
from toucanyard_node.log_client import read_records
from toucanyard_standins import engine_faults, plain_service, platform_faults
from toucanyard_standins.deployment import CUSTOMER_KEYS
from toucanyard_standins.network_faults import SilenceConnections
from toucanyard_standins.platform_faults import PlatformCounters
from world import World

BODY = b'{"seat": 1}'


def control_all(world: World, names: str, fault: msgspec.Struct) -> None:
    handles = {
        "platform": (world.deployment.platform,),
        "services": world.deployment.services,
        "engines": world.deployment.engines,
    }[names]
    for handle in handles:
        world.portal.call(world.harness.control, handle, fault)


@given("the service takes {delay_ms:d} ms for each call")
def slow_service(context: Context, delay_ms: int) -> None:
    control_all(context.world, "services", plain_service.SlowCalls(delay_ms))


@given("the service dies after the next execution")
def die_after(context: Context) -> None:
    control_all(context.world, "services", plain_service.DieAfterExecution())


@given("the service crosses the next answer")
def cross_service(context: Context) -> None:
    control_all(context.world, "services", plain_service.CrossAnswers())


@when("the service's open connections go silent")
def silence_service(context: Context) -> None:
    control_all(context.world, "services", SilenceConnections())


@given("each answer of the log takes {delay_ms:d} ms")
def slow_log(context: Context, delay_ms: int) -> None:
    control_all(context.world, "platform", platform_faults.SlowPart(delay_ms))


@given("the log loses the answers of the next {count:d} appends")
def lose_answers(context: Context, count: int) -> None:
    control_all(context.world, "platform", platform_faults.LoseAnswers(count))


@given("the log is down")
@when("the log is down")
def log_down(context: Context) -> None:
    world: World = context.world
    control_all(world, "platform", platform_faults.Outage(True))
    context.requested_claims = count_requested_claims(world)
    for number in range(1, len(world.deployment.nodes) + 1):
        wait_outage(world, number)


def count_requested_claims(world: World) -> int:
    """Return the number of claims in append requests, without other records."""
    platform = world.deployment.platform
    counted: PlatformCounters = world.portal.call(
        world.harness.read_counters, platform, PlatformCounters
    )
    return counted.asked_records.get("claim", 0)


@then("the log was not asked to append a claim")
def check_no_claim(context: Context) -> None:
    requested = count_requested_claims(context.world)
    assert requested == context.requested_claims, (requested, context.requested_claims)


def wait_outage(world: World, number: int) -> None:
    node = world.find_node(number)
    world.wait_for(
        "the node notices the outage",
        lambda: "event=log_unavailable" in node.read_log(),
    )


@when("the log is up again")
def log_up(context: Context) -> None:
    control_all(context.world, "platform", platform_faults.Outage(False))


@given("node {number:d} has a witness")
def wait_backup(context: Context, number: int) -> None:
    world: World = context.world

    def has_backup() -> bool:
        return world.count_peers(number) > 0

    world.wait_for("a link to a peer", has_backup)


@when("a claim is on its way to the log")
def wait_requested_claim(context: Context) -> None:
    world: World = context.world

    world.wait_for("a claim", lambda: count_requested_claims(world) > 0)


@when('the log has a claim of key "{key}"')
def wait_claim(context: Context, key: str) -> None:
    world: World = context.world

    def is_claimed() -> bool:
        page = world.portal.call(
            read_records, world.deployment.platform.address, 0, 1_000, 0
        )
        claims = (decode_record(record.text) for record in page.records)
        return any(
            isinstance(claim, ClaimRecord) and claim.name.key == key for claim in claims
        )

    world.wait_for("a claim in the log", is_claimed)


@when('a caller begins a hold with key "{key}" at node {number:d}')
def begin_hold(context: Context, key: str, number: int) -> None:
    headers = (("Idempotency-Key", key),)
    context.world.begin_request(number, "POST", HOLDS, BODY, headers)


@when('the hold "{key}" has begun to run')
def wait_begun(context: Context, key: str) -> None:
    world: World = context.world
    world.wait_for("the execution", lambda: world.count_holds(key) > 0)


@when('a caller sends a first try of a hold with key "{key}" to node {number:d}')
def hold_first(context: Context, key: str, number: int) -> None:
    headers = (("Idempotency-Key", key), ("X-Key-Age-Ms", "0"))
    context.world.ask_node(number, "POST", HOLDS, BODY, headers)


@when("a caller sends a hold with a key issued by node {number:d} to node {other:d}")
def hold_issued(context: Context, number: int, other: int) -> None:
    world: World = context.world
    located = world.ask_node(number, "GET", "/v1/locate?stay=true")
    prefix = msgspec.json.decode(located.body)["issued_key"]["prefix"]
    hold(context, f"{prefix}1", other)


@when('a caller of the other customer sends a hold with key "{key}" to node {number:d}')
def hold_other(context: Context, key: str, number: int) -> None:
    other = ("Authorization", f"Bearer {CUSTOMER_KEYS['clinic']}")
    headers = (other, ("Idempotency-Key", key))
    context.world.ask_node(number, "POST", HOLDS, BODY, headers)


@when(
    'a caller sends a hold with key "{key}" and {patience_ms:d} ms of patience'
    " to node {number:d}"
)
def hold_with_deadline(
    context: Context, key: str, patience_ms: int, number: int
) -> None:
    headers = (("Idempotency-Key", key), ("X-Deadline-Ms", str(patience_ms)))
    context.world.ask_node(number, "POST", HOLDS, BODY, headers)


@when("a caller sends holds with new keys to node {number:d} until one is answered")
def hold_until(context: Context, number: int) -> None:
    world: World = context.world
    tries: list[int] = []

    def is_answered() -> bool:
        tries.append(1)
        headers = (("Idempotency-Key", f"new-{len(tries)}"), ("X-Deadline-Ms", "2000"))
        return world.ask_node(number, "POST", HOLDS, BODY, headers).status == 200

    world.wait_for("an answered hold", is_answered)


@when('{count:d} callers send a hold with key "{key}" over all nodes at once')
def send_concurrent_holds(context: Context, count: int, key: str) -> None:
    world: World = context.world
    nodes = len(world.deployment.nodes)
    for number in range(count):
        begin_hold(context, key, number % nodes + 1)
    check_all_over(context)


@when("node {number:d} is killed")
def kill_node(context: Context, number: int) -> None:
    context.world.find_node(number).kill()


@when("node {number:d} is paused")
def pause_node(context: Context, number: int) -> None:
    context.world.find_node(number).pause()


@when("node {number:d} goes on")
def resume_node(context: Context, number: int) -> None:
    context.world.find_node(number).resume()


@when("{seconds:d} s pass")
def wait_some(context: Context, seconds: int) -> None:
    context.world.portal.call(trio.sleep, seconds)


@then("every request ends")
def check_all_over(context: Context) -> None:
    world: World = context.world
    world.wait_for(
        "all answers", lambda: all(result.is_over for result in world.results)
    )


@then('the hold "{key}" ran {count:d} times')
def check_ran(context: Context, key: str, count: int) -> None:
    assert context.world.count_holds(key) == count, context.world.count_holds(key)


@then('the hold "{key}" ran at most {count:d} times')
def check_ran_at_most(context: Context, key: str, count: int) -> None:
    assert context.world.count_holds(key) <= count, context.world.count_holds(key)


@then('the last answer says "{ending}"')
def check_ending(context: Context, ending: str) -> None:
    result = context.world.results[-1]
    assert result.is_whole and result.find_ending() == ending, result


@then('the last answer is refused as "{kind}" and says "{ending}"')
def check_refusal(context: Context, kind: str, ending: str) -> None:
    check_ending(context, ending)
    code = msgspec.json.decode(context.world.results[-1].body)["error"]["code"]
    assert code == kind, code


@then('no answer says "{ending}" if the hold "{key}" ran')
def check_no_false_ending(context: Context, ending: str, key: str) -> None:
    world: World = context.world
    endings = [result.find_ending() for result in world.results if result.is_whole]
    assert world.count_holds(key) == 0 or ending not in endings, endings


@then("the last two answers are equal")
def check_equal(context: Context) -> None:
    first, second = context.world.results[-2:]
    assert first.is_whole and first.status == 200, first
    assert (first.status, first.body) == (second.status, second.body), (first, second)


@then("the last answer equals the first")
def check_equals_first(context: Context) -> None:
    first, last = context.world.results[0], context.world.results[-1]
    assert (first.status, first.body) == (last.status, last.body), (first, last)


@then('the last answer is for customer "{customer}"')
def check_customer(context: Context, customer: str) -> None:
    check_answer(context, 200)
    body = msgspec.json.decode(context.world.results[-1].body)
    assert body["customer"] == customer, body


@then("every answer is the same whole answer")
def check_same(context: Context) -> None:
    answers = {(result.status, result.body) for result in context.world.results}
    assert len(answers) == 1 and all(
        result.is_whole for result in context.world.results
    )
    assert context.world.results[0].status == 200, context.world.results[0]


@given("every engine dies after {events:d} more events")
def engines_die(context: Context, events: int) -> None:
    control_all(context.world, "engines", engine_faults.DieAfterEvents(events))


@given("every engine cuts the next stream after {events:d} events")
def engines_cut(context: Context, events: int) -> None:
    control_all(context.world, "engines", engine_faults.CutAfterEvents(events))


@given("every engine goes silent after {events:d} more events")
def engines_silent(context: Context, events: int) -> None:
    control_all(context.world, "engines", engine_faults.SilenceAfterEvents(events))


@given("every engine crosses the next answer")
def engines_cross(context: Context) -> None:
    control_all(context.world, "engines", engine_faults.CrossAnswers())
