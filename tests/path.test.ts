import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { demoRows } from '../dev/demo/demoRows';
import { Fleet } from '../dev/fleet/Fleet';
import { fastTimings } from './helpers/fastTimings';

describe('the path of a request through separate processes', () => {
  let fleet: Fleet;
  let box = '';

  beforeAll(async () => {
    fleet = await Fleet.create({
      halls: [{ name: 'hall-a', entries: 2, workers: 4 }],
      capacity: { cpus: 16, memoryMb: 32_768, accelerators: 0, slots: 8 },
      rows: demoRows,
      teams: { greedy: { maxRunning: 2, maxQueued: 1 } },
      timings: fastTimings,
      limits: { bodyBytes: 1000 },
    });
    await fleet.start();
    box = fleet.readBoxes()[0] ?? '';
  });

  afterAll(async () => {
    await fleet.stop();
  });

  it('serves a request from end to end', async () => {
    const result = await fleet.sendCall(box, 'plan-refresh', {
      body: 'hello',
      headers: { 'x-run-ms': '10' },
    });
    expect(result).toMatchObject({ status: 200, outcome: 'ran', body: 'plan-refresh:hello' });
  });

  it('rejects malformed requests with a problem and the outcome not-run', async () => {
    const unknown = await fleet.sendCall(box, 'no-such-row');
    expect(unknown).toMatchObject({ status: 404, outcome: 'not-run' });
    const deadline = await fleet.sendCall(box, 'plan-refresh', {
      headers: { 'x-stairline-deadline-ms': 'soon' },
    });
    expect(deadline).toMatchObject({ status: 400, outcome: 'not-run' });
    expect(deadline.body).toContain('x-stairline-deadline-ms');
    const large = await fleet.sendCall(box, 'plan-refresh', { body: 'x'.repeat(1001) });
    expect(large).toMatchObject({ status: 413, outcome: 'not-run' });
    const standing = await fleet.sendCall(box, 'gazetteer-watch');
    expect(standing).toMatchObject({ status: 400, outcome: 'not-run' });
  });

  it('refuses at once, with a retry time, a request that cannot meet its deadline', async () => {
    const late = await fleet.sendCall(box, 'plan-refresh', { headers: { 'x-stairline-deadline-ms': '10' } });
    expect(late).toMatchObject({ status: 503, outcome: 'not-run' });
    expect(late.retryAfter).toBeGreaterThanOrEqual(1);
    expect(late.tookMs).toBeLessThan(1000);
  });

  it('keeps the replicas of a standing row running', async () => {
    const isComplete = async () => {
      const statuses = await fleet.readAllStatus();
      return statuses.reduce((sum, status) => sum + (status.standing['gazetteer-watch'] ?? 0), 0) === 3;
    };
    await fleet.startWait(isComplete);
  });

  it('explains where a request ran', async () => {
    const result = await fleet.sendCall(box, 'tile-proof', { headers: { 'x-run-ms': '5' } });
    const path = `/timeline?request=${result.request}`;
    const { events } = await fleet.sendOperator<{ events: { kind: string }[] }>(box, path);
    expect(events.map((event) => event.kind)).toEqual(['arrived', 'placed', 'ended', 'answered']);
  });

  it('applies an accepted edit on both boxes and reports it', async () => {
    const body = { cell: 'row/tile-proof/weight', value: 3, operator: 'anna' };
    const answer = await fleet.sendOperator<{ kind: string; inForce: string[] }>(box, '/table/edits', body);
    expect(answer).toMatchObject({ kind: 'decided', edit: { decision: 'accepted' } });
    expect([...answer.inForce].sort()).toEqual([...fleet.readBoxes()].sort());
    const refused = await fleet.sendOperator(box, '/table/edits', { ...body, value: -1 });
    expect(refused).toMatchObject({ kind: 'refused' });
    const stale = await fleet.sendOperator(box, '/table/edits', { ...body, value: 9, basedOn: -1 });
    expect(stale).toMatchObject({ kind: 'refused', reason: expect.stringContaining('overtaken by edit') });
  });

  it('does not run requests of a disconnected caller, or of a removed row', async () => {
    const long = { headers: { 'x-run-ms': '1500', 'x-stairline-deadline-ms': '9000' } };
    const running = Array.from({ length: 8 }, () =>
      fleet.readBoxes().map((one) => fleet.sendCall(one, 'sheet-stitch', long)),
    ).flat();
    await new Promise((resolve) => setTimeout(resolve, 400));
    const cancelled = await fleet.sendCall(box, 'sheet-stitch', { ...long, timeoutMs: 300 });
    expect(cancelled.outcome).toBe('cut');
    const waiting = fleet.sendCall(box, 'sheet-stitch', long);
    await new Promise((resolve) => setTimeout(resolve, 100));
    await fleet.sendOperator(box, '/table/edits', {
      cell: 'row/sheet-stitch',
      value: null,
      operator: 'anna',
    });
    expect(await waiting).toMatchObject({ status: 410, outcome: 'not-run' });
    await Promise.all(running);
    const starts = (await fleet.readRecords()).flatMap((record) => Object.keys(record.starts));
    expect(starts.filter((start) => start.startsWith('sheet-stitch ')).length).toBeLessThanOrEqual(16);
  });

  it('never exceeds the resources and connections of an endpoint', async () => {
    const calls = Array.from({ length: 300 }, (_, index) => {
      const target = fleet.readBoxes()[index % 2] ?? '';
      return fleet.sendCall(target, 'plan-refresh', { headers: { 'x-run-ms': '20' } });
    });
    const results = await Promise.all(calls);
    expect(results.every((result) => result.outcome === 'ran' || result.outcome === 'not-run')).toBe(true);
    for (const record of await fleet.readRecords()) {
      expect(record.peak.slots).toBeLessThanOrEqual(record.capacity.slots);
      expect(record.peak.cpus).toBeLessThanOrEqual(record.capacity.cpus);
      expect(record.peakConnections).toBeLessThanOrEqual(64);
    }
  });
});
