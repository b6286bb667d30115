/*
 * Guards against lost boxes that count as present again after some time, without a sign of life.
 */
import { beforeEach, describe, expect, it } from 'vitest';
import { BoxPresence } from '../packages/boxes/BoxPresence';

const TICK_MS = 50;
/** Longest time until a box that responds again is found. */
const MAX_RETURN_MS = 2000;

let now: number;
let presence: BoxPresence;
/** Boxes that respond to probes. */
let responding: Set<string>;
let probes: string[];
let messages: string[];

/** Lets a number of milliseconds pass, with a tick every `TICK_MS`. */
const runFor = async (ms: number, boxes: readonly string[], isProbingUnknown = false): Promise<void> => {
  const until = now + ms;
  while (now < until) {
    now += TICK_MS;
    presence.handleTick(
      boxes.map((box) => ({ box })),
      isProbingUnknown,
    );
    await Promise.resolve();
    await Promise.resolve();
  }
};

beforeEach(() => {
  now = 1000;
  responding = new Set();
  probes = [];
  messages = [];
  const logLine = (message: string): void => void messages.push(message);
  presence = new BoxPresence({
    clock: { getNow: () => now, getWallTime: () => now },
    logger: { info: logLine, warn: logLine, error: logLine },
    sendProbe: (box) => {
      probes.push(box);
      if (responding.has(box)) {
        presence.recordResponse(box);
      } else {
        presence.recordFailure(box, now);
      }
      return Promise.resolve();
    },
  });
});

describe('the presence of a box', () => {
  it('is unknown before the first response or failure', () => {
    expect([presence.isReachable('a'), presence.isLost('a')]).toEqual([false, false]);
  });

  it('does not return by itself', async () => {
    presence.recordResponse('a');
    presence.recordFailure('a', now + 1);
    await runFor(60_000, ['a']);
    expect([presence.isReachable('a'), presence.isLost('a'), presence.countLost()]).toEqual([false, true, 1]);
  });

  it('returns soon after the box responds again, with a log line for each change', async () => {
    presence.recordResponse('a');
    presence.recordFailure('a', now + 1);
    await runFor(60_000, ['a']);
    responding.add('a');
    await runFor(MAX_RETURN_MS, ['a']);
    expect(presence.isReachable('a')).toBe(true);
    expect(messages).toEqual(['Box does not respond.', 'Box responds again.']);
  });

  it('returns at once when a box that announces itself again responds', async () => {
    presence.recordFailure('a', now);
    await runFor(60_000, ['a']);
    responding.add('a');
    presence.recordAnnouncement('a');
    expect(presence.isReachable('a')).toBe(false);
    await runFor(TICK_MS, ['a']);
    expect(presence.isReachable('a')).toBe(true);
  });

  it('does not end by a request that was sent before the newest response', () => {
    presence.recordResponse('a');
    presence.recordFailure('a', now - 500);
    expect(presence.isReachable('a')).toBe(true);
  });

  it('is found by probes of unknown boxes, if these are wanted', async () => {
    responding.add('a');
    await runFor(1000, ['a', 'b']);
    expect(probes).toEqual([]);
    await runFor(TICK_MS, ['a', 'b'], true);
    expect([presence.isReachable('a'), presence.isLost('b')]).toEqual([true, true]);
  });

  it('costs a bounded number of probes, however many boxes are lost', async () => {
    const boxes = Array.from({ length: 100 }, (_none, number) => `box-${number}`);
    boxes.forEach((box) => presence.recordFailure(box, now));
    await runFor(TICK_MS, boxes);
    expect(probes.length).toBeLessThanOrEqual(8);
    await runFor(60_000, ['box-0']);
    expect(probes.filter((box) => box === 'box-0').length).toBeLessThanOrEqual(45);
  });
});
