import { afterEach, describe, expect, it } from 'vitest';
import type { Fleet } from '../../dev/fleet/Fleet';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { checkWitness } from '../helpers/checkWitness';
import { createFleet } from '../helpers/createFleet';
import { LoadRun } from '../helpers/LoadRun';

const LOAD = { row: 'plan-refresh', runMs: 60, gapMs: 5, callers: 60 };

describe('entry boxes that fail', () => {
  let fleet: Fleet;

  afterEach(async () => {
    await fleet.stop();
  });

  it('killed: the other box takes over all workers; nothing is overfilled', async () => {
    fleet = await createFleet();
    const [killed = '', kept = ''] = fleet.readBoxes();
    const load = new LoadRun({ fleet, boxes: [kept], ...LOAD });
    await waitForDelay(500);
    fleet.readProcess(killed).sendSignal('SIGKILL');
    await fleet.startWait(async () => (await fleet.readStatus(kept))?.workers.placeable === 4);
    await checkWitness(fleet, await load.stop());
    expect(load.readCount('ran')).toBeGreaterThan(0);
  });

  it('killed while the log is down: the other box takes over all the same once reports come', async () => {
    fleet = await createFleet();
    const [killed = '', kept = ''] = fleet.readBoxes();
    await fleet.sendFaults({ isDown: true });
    fleet.readProcess(killed).sendSignal('SIGKILL');
    await waitForDelay(2500);
    const blind = await fleet.readStatus(kept);
    expect(blind?.hasEvidence).toBe(true);
    const result = await fleet.sendCall(kept, 'plan-refresh', { headers: { 'x-run-ms': '10' } });
    expect(result.outcome).toBe('ran');
    await fleet.sendFaults({ isDown: false });
    await fleet.startWait(async () => (await fleet.readStatus(kept))?.workers.placeable === 4);
  });

  it('paused and resumed: it has been left out, wakes without a right, and joins again', async () => {
    fleet = await createFleet();
    const [paused = '', kept = ''] = fleet.readBoxes();
    const load = new LoadRun({ fleet, boxes: [paused, kept], ...LOAD });
    await waitForDelay(500);
    fleet.readProcess(paused).sendSignal('SIGSTOP');
    await fleet.startWait(async () => (await fleet.readStatus(kept))?.workers.placeable === 4);
    await waitForDelay(500);
    fleet.readProcess(paused).sendSignal('SIGCONT');
    const isWhole = async () => {
      const statuses = await fleet.readAllStatus();
      return (
        statuses.length === 2 &&
        statuses.every((status) => status.view?.members.length === 2 && status.workers.unsettled === 0)
      );
    };
    await fleet.startWait(isWhole);
    await checkWitness(fleet, await load.stop());
  });

  it('stopped by plan under load: nothing is cut, and it exits with 0', async () => {
    fleet = await createFleet();
    const [stopped = '', kept = ''] = fleet.readBoxes();
    const targets = [stopped, kept];
    const load = new LoadRun({ fleet, boxes: targets, ...LOAD });
    await waitForDelay(500);
    fleet.readProcess(stopped).sendSignal('SIGTERM');
    // As the platform's balancer would: not ready, so no more callers there.
    targets.shift();
    const process = fleet.readProcess(stopped);
    expect(await process.exit).toBe(0);
    await waitForDelay(500);
    const results = await load.stop();
    expect(results.filter((result) => result.outcome === 'cut' || result.outcome === 'unknown')).toEqual([]);
    await checkWitness(fleet, results);
    expect((await fleet.readStatus(kept))?.workers.placeable).toBe(4);
  });

  it('stopped twice: it ends at once and says what was cut', async () => {
    fleet = await createFleet();
    const [box = ''] = fleet.readBoxes();
    const call = fleet.sendCall(box, 'video-render', { headers: { 'x-run-ms': '3000' } });
    await waitForDelay(200);
    const process = fleet.readProcess(box);
    process.sendSignal('SIGTERM');
    await waitForDelay(300);
    process.sendSignal('SIGTERM');
    expect(await process.exit).toBe(1);
    expect(process.readOutput()).toMatch(/Interrupted: [1-9]\d* calls and tasks/);
    expect((await call).outcome).toBe('cut');
  });

  it('restarted: the new start proves the end of the old one, and takes its workers back', async () => {
    fleet = await createFleet();
    const [box = '', kept = ''] = fleet.readBoxes();
    const before = await fleet.readStatus(box);
    fleet.readProcess(box).sendSignal('SIGKILL');
    await fleet.readProcess(box).exit;
    await fleet.startEntry(box);
    const isBack = async () => (await fleet.readStatus(box))?.workers.placeable === before?.workers.placeable;
    await fleet.startWait(isBack);
    const load = new LoadRun({ fleet, boxes: [box, kept], ...LOAD });
    await waitForDelay(500);
    await checkWitness(fleet, await load.stop());
  });
});
