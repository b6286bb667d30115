import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { CallResult } from '../../dev/fleet/CallResult';
import type { Fleet } from '../../dev/fleet/Fleet';
import { readDoubled } from '../../dev/demo/readDoubled';
import { waitForDelay } from '../../packages/common/waitForDelay';
import type { EndpointFault } from '../../packages/standins/EndpointFault';
import { checkWitness } from '../helpers/checkWitness';
import { createFleet } from '../helpers/createFleet';

const WORKERS = ['hall-a-worker-1', 'hall-a-worker-2', 'hall-a-worker-3', 'hall-a-worker-4'];

describe('endpoints that fail', () => {
  let fleet: Fleet;
  const seen: CallResult[] = [];

  beforeAll(async () => {
    fleet = await createFleet();
  });

  afterAll(async () => {
    try {
      await checkWitness(fleet, seen);
    } finally {
      await fleet.stop();
    }
  });

  const sendUnderFault = async (fault: EndpointFault, row: string): Promise<readonly CallResult[]> => {
    await Promise.all(WORKERS.map((worker) => fleet.sendEndpointFault(worker, fault)));
    const calls = Array.from({ length: 12 }, (_, index) =>
      fleet.sendCall(fleet.readBoxes()[index % 2] ?? '', row, {
        body: `${fault}-${index}`,
        headers: {
          'x-run-ms': '20',
          'x-stairline-deadline-ms': '1500',
          'idempotency-key': `${fault}-${row}-${index}`,
        },
      }),
    );
    const results = await Promise.all(calls);
    await Promise.all(WORKERS.map((worker) => fleet.sendEndpointFault(worker, 'none')));
    seen.push(...results);
    return results;
  };

  it.each<EndpointFault>(['resetBefore', 'resetAfter', 'truncate', 'cross', 'silent'])(
    '%s: an unrepeatable request is told unknown at once, and never sent again',
    async (fault) => {
      const results = await sendUnderFault(fault, 'course-build');
      const outcomes = results.map((result) => result.outcome);
      expect(outcomes).not.toContain('ran');
      expect(outcomes).toContain('unknown');
      expect(readDoubled(await fleet.readRecords(), ['course-build'])).toEqual([]);
      await waitForDelay(fault === 'silent' ? 4500 : 500);
    },
  );

  it.each<EndpointFault>(['truncate', 'cross', 'resetAfter', 'double', 'slow'])(
    '%s: nobody gets a part of an answer, or the answer of another',
    async (fault) => {
      const results = await sendUnderFault(fault, 'plan-refresh');
      for (const [index, result] of results.entries()) {
        expect(['ran', 'unknown', 'not-run']).toContain(result.outcome);
        if (result.outcome === 'ran') {
          expect(result.body).toBe(`plan-refresh:${fault}-${index}`);
        }
      }
      await waitForDelay(500);
    },
  );

  it('resetAfter on a running task: its slot stays taken until it is known to have ended', async () => {
    await Promise.all(WORKERS.map((worker) => fleet.sendEndpointFault(worker, 'dropAndRunOn')));
    const box = fleet.readBoxes()[0] ?? '';
    const long = { headers: { 'x-run-ms': '1500', 'x-stairline-deadline-ms': '2500' } };
    const cut = Array.from({ length: 24 }, () => fleet.sendCall(box, 'course-build', long));
    await waitForDelay(300);
    await Promise.all(WORKERS.map((worker) => fleet.sendEndpointFault(worker, 'none')));
    const more = Array.from({ length: 120 }, () =>
      fleet.sendCall(box, 'plan-refresh', { headers: { 'x-run-ms': '100' } }),
    );
    const results = [...(await Promise.all(cut)), ...(await Promise.all(more))];
    expect(results.filter((result) => result.outcome === 'unknown').length).toBeGreaterThan(0);
    await checkWitness(fleet, results);
  });

  it('leaving: it gets no new work some seconds after the list says so, also when the list then is out', async () => {
    const [leaving = ''] = WORKERS;
    await fleet.sendBoxState(leaving, 'leaving');
    await waitForDelay(1500);
    await fleet.sendFaults({ isDown: true });
    const readStarts = async () => {
      const record = (await fleet.readRecords()).find((one) => one.worker === leaving);
      return Object.keys(record?.starts ?? {}).length;
    };
    const before = await readStarts();
    const calls = Array.from({ length: 100 }, (_, index) =>
      fleet.sendCall(fleet.readBoxes()[index % 2] ?? '', 'plan-refresh', { headers: { 'x-run-ms': '10' } }),
    );
    const results = await Promise.all(calls);
    expect(results.every((result) => result.outcome === 'ran')).toBe(true);
    expect(await readStarts()).toBe(before);
    await fleet.sendFaults({ isDown: false });
  });
});
