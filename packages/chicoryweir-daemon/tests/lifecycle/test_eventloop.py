"""Tests of the end of an event loop."""

import asyncio

from chicoryweir_daemon.lifecycle import eventloop
from chicoryweir_daemon.lifecycle import signals


async def _ignore_cancellations(count):
    while count:
        try:
            await asyncio.sleep(60.0)
        except asyncio.CancelledError:
            count -= 1


# Guards against a stop that never ends since a task lost its cancellation.
async def test_task_that_loses_a_cancellation_is_cancelled_again():
    task = asyncio.create_task(_ignore_cancellations(2))
    await asyncio.sleep(0)
    assert await eventloop.cancel_tasks([task]) == set()
    assert task.done()


# Guards against a stop that waits for ever for a task that can't be cancelled.
async def test_task_that_cannot_be_cancelled_is_left_behind():
    released = asyncio.Event()

    async def ignore_until_released():
        while not released.is_set():
            await _ignore_cancellations(1)

    task = asyncio.create_task(ignore_until_released())
    await asyncio.sleep(0)
    assert await eventloop.cancel_tasks([task]) == {task}
    released.set()
    assert await eventloop.cancel_tasks([task]) == set()


async def test_requests_follow_the_signals_of_a_receiver():
    receiver = signals.SignalReceiver()
    requests = eventloop.Requests()
    receiver._handle_reload(1, None)
    receiver.attach(asyncio.get_running_loop(), requests.stop, requests.reload)
    await asyncio.sleep(0.01)
    assert requests.reload.is_set()
    assert not requests.stop.is_set()
    receiver._handle_stop(15, None)
    await asyncio.sleep(0.01)
    assert requests.stop.is_set()


# Guards against a stop signal during the imports that is forgotten.
async def test_stop_signal_before_the_loop_is_kept_for_it():
    receiver = signals.SignalReceiver()
    requests = eventloop.Requests()
    receiver._handle_stop(15, None)
    receiver.attach(asyncio.get_running_loop(), requests.stop, requests.reload)
    await asyncio.sleep(0.01)
    assert requests.stop.is_set()


async def test_reload_signal_is_passed_on_once():
    receiver = signals.SignalReceiver()
    requests = eventloop.Requests()
    receiver.attach(asyncio.get_running_loop(), requests.stop, requests.reload)
    receiver._handle_reload(1, None)
    await asyncio.sleep(0.01)
    requests.reload.clear()
    receiver._handle_stop(15, None)
    await asyncio.sleep(0.01)
    assert not requests.reload.is_set()
