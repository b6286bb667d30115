import { afterEach, describe, expect, it } from 'vitest';
import type { Fleet } from '../../dev/fleet/Fleet';
import { readDoubled } from '../../dev/demo/readDoubled';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { createFleet } from '../helpers/createFleet';

const KEY = { 'idempotency-key': 'course-1', 'x-run-ms': '400' };

describe('an unrepeatable request runs at most once', () => {
  let fleet: Fleet;

  afterEach(async () => {
    await fleet.stop();
  });

  /** Starts of course-build over all endpoints. */
  const readStartCount = async (): Promise<number> => {
    const records = await fleet.readRecords();
    const starts = records.flatMap((record) => Object.entries(record.starts));
    return starts
      .filter(([request]) => request.startsWith('course-build '))
      .reduce((sum, [, count]) => sum + count, 0);
  };

  it('sent again through the same box and another one: one run, and the same answer for all', async () => {
    fleet = await createFleet();
    const [left = '', right = ''] = fleet.readBoxes();
    const send = (box: string) => fleet.sendCall(box, 'course-build', { headers: KEY });
    const first = send(left);
    await waitForDelay(150);
    const results = await Promise.all([first, send(left), send(right)]);
    expect(results.map((result) => result.outcome)).toEqual(['ran', 'ran', 'ran']);
    expect(new Set(results.map((result) => result.body)).size).toBe(1);
    expect(await readStartCount()).toBe(1);
  });

  it('sent through both boxes at the same time: one run', async () => {
    fleet = await createFleet();
    const sends = Array.from({ length: 6 }, (_, index) =>
      fleet.sendCall(fleet.readBoxes()[index % 2] ?? '', 'course-build', { headers: KEY }),
    );
    const results = await Promise.all(sends);
    expect(results.filter((result) => result.outcome === 'not-run')).toEqual([]);
    expect(await readStartCount()).toBe(1);
  });

  it('sent again after its box was killed and replaced: told unknown, not run again', async () => {
    fleet = await createFleet();
    const [killed = '', kept = ''] = fleet.readBoxes();
    const first = fleet.sendCall(killed, 'course-build', { headers: KEY });
    await waitForDelay(250);
    fleet.readProcess(killed).sendSignal('SIGKILL');
    expect((await first).outcome).toBe('cut');
    const again = await fleet.sendCall(kept, 'course-build', { headers: KEY });
    expect(again.outcome).toBe('unknown');
    await fleet.startEntry(killed);
    await waitForDelay(1500);
    const later = await fleet.sendCall(killed, 'course-build', { headers: KEY });
    expect(later.outcome).toBe('unknown');
    expect(await readStartCount()).toBe(1);
  });

  it('sent while the log is down: told not-run with a time to come back, and then run once', async () => {
    fleet = await createFleet();
    const [box = ''] = fleet.readBoxes();
    await fleet.sendFaults({ isDown: true });
    await waitForDelay(300);
    const refused = await fleet.sendCall(box, 'course-build', { headers: KEY });
    expect(refused).toMatchObject({ status: 503, outcome: 'not-run' });
    expect(refused.retryAfter).toBeGreaterThanOrEqual(1);
    expect(await readStartCount()).toBe(0);
    await fleet.sendFaults({ isDown: false });
    const isRun = async () => (await fleet.sendCall(box, 'course-build', { headers: KEY })).outcome === 'ran';
    await fleet.startWait(isRun);
    expect(await readStartCount()).toBe(1);
  });

  it('claimed by an append whose answer was lost: the claim is found in the log, and it runs once', async () => {
    fleet = await createFleet();
    const [box = '', other = ''] = fleet.readBoxes();
    await fleet.sendFaults({ loseAnswers: 1 });
    const first = await fleet.sendCall(box, 'course-build', { headers: KEY });
    expect(first.outcome).toBe('ran');
    await fleet.sendFaults({ loseAnswers: 0 });
    const again = await fleet.sendCall(other, 'course-build', { headers: KEY });
    expect(again).toMatchObject({ outcome: 'ran', body: first.body });
    expect(await readStartCount()).toBe(1);
  });

  it('paused in the middle: the caller through another box is told unknown, and it runs once', async () => {
    fleet = await createFleet();
    const [paused = '', kept = ''] = fleet.readBoxes();
    const first = fleet.sendCall(paused, 'course-build', { headers: KEY, timeoutMs: 8000 });
    await waitForDelay(250);
    fleet.readProcess(paused).sendSignal('SIGSTOP');
    const again = await fleet.sendCall(kept, 'course-build', {
      headers: { ...KEY, 'x-stairline-deadline-ms': '3000' },
      timeoutMs: 6000,
    });
    expect(['unknown', 'cut']).toContain(again.outcome);
    fleet.readProcess(paused).sendSignal('SIGCONT');
    expect((await first).outcome).toBe('ran');
    expect(readDoubled(await fleet.readRecords(), ['course-build'])).toEqual([]);
    expect(await readStartCount()).toBe(1);
  });
});
