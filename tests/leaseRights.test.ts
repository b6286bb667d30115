import { beforeEach, describe, expect, it } from 'vitest';
import { LeaderVoucher } from '../packages/leadership/LeaderVoucher';
import { LeaseWitnesses } from '../packages/leadership/LeaseWitnesses';

const EPOCH = 3;
const TICK_MS = 100;
const BOXES = ['a', 'b', 'c'];

describe('the right of a leader to renew leases', () => {
  let now: number;
  let ackedAt: number;
  let processes: Record<string, string>;
  let silent: Set<string>;
  let changeCount: number;
  let witnesses: LeaseWitnesses;

  beforeEach(() => {
    now = 100_000;
    ackedAt = now;
    processes = { a: 'a#1', b: 'b#1', c: 'c#1' };
    silent = new Set();
    changeCount = 0;
    witnesses = new LeaseWitnesses({
      epoch: EPOCH,
      clock: { getNow: () => now, getWallTime: () => now, getMaxElapsedSince: (since) => now - since },
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      isLost: () => false,
      listOthers: () =>
        BOXES.map((box) => ({
          box,
          client: {
            address: `${box}:1`,
            requestVouch: () =>
              Promise.resolve(
                silent.has(box) ? undefined : { box, process: processes[box]!, isVouched: true },
              ),
          },
        })),
      hasAckedWriteWithin: (limitMs) => now - ackedAt < limitMs,
      handleChange: () => (changeCount += 1),
    });
  });

  /** Advances the time; meanwhile the log takes all writes of this leader, all but its records, or none. */
  const run = async (forMs: number, taken: 'all' | 'others' | 'none' = 'all'): Promise<void> => {
    for (const until = now + forMs; now < until; now += TICK_MS) {
      const before = changeCount;
      witnesses.handleTick();
      ackedAt = taken === 'none' ? ackedAt : now;
      if (taken !== 'none' && changeCount > before) {
        witnesses.updateNamedWitnesses();
      }
      if (taken === 'all') {
        witnesses.handleRecordWritten();
      }
      await Promise.resolve();
      await Promise.resolve();
    }
  };

  it('lasts for the longest time after its last write while it has named nobody', async () => {
    BOXES.forEach((box) => silent.add(box));
    await run(3000);
    await run(7800, 'none');
    expect(witnesses.canRenew()).toBe(true);
    await run(200, 'none');
    expect(witnesses.canRenew()).toBe(false);
  });

  it('lasts as long on the word of one of two witnesses, and briefly without', async () => {
    await run(3000);
    silent.add('a');
    await run(7800, 'none');
    expect(witnesses.canRenew()).toBe(true);
    silent.add('b');
    await run(1600, 'none');
    expect(witnesses.canRenew()).toBe(false);
  });

  it('ends after the brief time when neither the log nor a witness is reached', async () => {
    await run(3000);
    BOXES.forEach((box) => silent.add(box));
    await run(2300, 'none');
    expect(witnesses.canRenew()).toBe(true);
    await run(300, 'none');
    expect(witnesses.canRenew()).toBe(false);
  });

  it('is not given by a process that the record does not name, such as one that has replaced a witness', async () => {
    await run(3000);
    processes = { a: 'a#2', b: 'b#2', c: 'c#1' };
    await run(3000, 'none');
    expect(witnesses.canRenew()).toBe(false);
  });

  it('is given only by witnesses that both the written record and one that may have been written name', async () => {
    await run(3000);
    silent.add('a');
    await run(4000, 'others');
    expect(witnesses.updateNamedWitnesses()?.map(({ box }) => box)).toEqual(['b', 'c']);
    await run(4000, 'none');
    expect(witnesses.canRenew()).toBe(true);
    silent.add('b');
    await run(1600, 'none');
    expect(witnesses.canRenew()).toBe(false);
  });

  it('passes to others when a witness does not respond, which the next record names', async () => {
    await run(3000);
    expect(witnesses.updateNamedWitnesses()?.map(({ box }) => box)).toEqual(['a', 'b']);
    silent.add('b');
    await run(4000);
    expect(witnesses.updateNamedWitnesses()?.map(({ box }) => box)).toEqual(['a', 'c']);
  });
});

describe('a process that vouches for leaders', () => {
  it('vouches for the newest leader that it knows alone, and says when it last did', () => {
    let now = 1000;
    let epoch: number | undefined;
    const voucher = new LeaderVoucher({
      clock: { getNow: () => now, getWallTime: () => now },
      getNewestEpoch: () => epoch,
    });
    expect(voucher.handleVouchRequest(EPOCH)).toBe(false);
    expect(voucher.getVouchAgeMs()).toBeUndefined();
    epoch = EPOCH;
    expect(voucher.handleVouchRequest(EPOCH)).toBe(true);
    now += 700;
    epoch = EPOCH + 1;
    expect(voucher.handleVouchRequest(EPOCH)).toBe(false);
    expect(voucher.getVouchAgeMs()).toBe(700);
  });
});
