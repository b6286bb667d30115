import { afterEach, describe, expect, it } from 'vitest';
import type { Fleet } from '../../dev/fleet/Fleet';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { checkWitness } from '../helpers/checkWitness';
import { createFleet } from '../helpers/createFleet';
import { LoadRun } from '../helpers/LoadRun';

const LOAD = { row: 'plan-refresh', runMs: 30, gapMs: 5, callers: 20 };

interface EditReply {
  readonly kind: string;
  readonly edit?: { readonly decision: string };
  readonly inForce?: readonly string[];
  readonly notSeen?: readonly string[];
}

describe('the platform that fails', () => {
  let fleet: Fleet;

  afterEach(async () => {
    await fleet.stop();
  });

  const readWeights = async (): Promise<(number | undefined)[]> => {
    const tables = await Promise.all(
      fleet
        .readBoxes()
        .map((box) => fleet.sendOperator<{ rows: { name: string; weight: number }[] }>(box, '/table')),
    );
    return tables.map((table) => table.rows.find((row) => row.name === 'tile-proof')?.weight);
  };

  it('down: both boxes serve on, call it seldom, and come back without a rush', async () => {
    fleet = await createFleet();
    const load = new LoadRun({ fleet, boxes: fleet.readBoxes(), ...LOAD });
    await waitForDelay(300);
    await fleet.sendFaults({ isDown: true });
    const before = await fleet.readPlatformCounts();
    const ranBefore = load.readCount('ran');
    await waitForDelay(4000);
    const during = await fleet.readPlatformCounts();
    expect(load.readCount('ran') - ranBefore).toBeGreaterThan(500);
    // Per box: three streams with backoff, the box list and reports: below 25 calls a second.
    expect((during.calls - before.calls) / 4 / 2).toBeLessThan(25);
    await fleet.sendFaults({ isDown: false });
    await waitForDelay(1000);
    const after = await fleet.readPlatformCounts();
    expect(after.calls - during.calls).toBeLessThan(100);
    const results = await load.stop();
    expect(results.filter((result) => result.outcome !== 'ran')).toEqual([]);
    await checkWitness(fleet, results);
  });

  it('losing the answers of appends: an edit takes effect once, and its writer is told so', async () => {
    fleet = await createFleet();
    const [box = ''] = fleet.readBoxes();
    await fleet.sendFaults({ loseAnswers: 1 });
    const body = { cell: 'row/tile-proof/weight', value: 7, operator: 'anna' };
    const answer = await fleet.sendOperator<EditReply>(box, '/table/edits', body);
    expect(answer).toMatchObject({ kind: 'decided', edit: { decision: 'accepted' } });
    expect(await readWeights()).toEqual([7, 7]);
    const { history } = await fleet.sendOperator<{ history: object[] }>(box, '/table/history');
    expect(history).toHaveLength(1);
  });

  it('operators racing on one cell: one winner, the same on both boxes', async () => {
    fleet = await createFleet();
    const [left = '', right = ''] = fleet.readBoxes();
    const createBody = (value: number) => ({
      cell: 'row/tile-proof/weight',
      value,
      operator: 'anna',
      basedOn: -1,
    });
    // The log is slow, so both edits are on their way to it before either box hears of the other: one that came later would be
    // refused by its own box already.
    await fleet.sendFaults({ delayMs: 300 });
    const answers = await Promise.all([
      fleet.sendOperator<EditReply>(left, '/table/edits', createBody(2)),
      fleet.sendOperator<EditReply>(right, '/table/edits', createBody(3)),
    ]);
    expect(answers.map((answer) => answer.edit?.decision).sort()).toEqual(['accepted', 'refused']);
    await fleet.sendFaults({ delayMs: 0 });
    const [first, second] = await readWeights();
    expect(first).toBe(second);
  });

  it('cut off from one box alone: that box takes the table from the other within seconds', async () => {
    fleet = await createFleet();
    const [cut = '', open = ''] = fleet.readBoxes();
    await fleet.sendFaults({ cutBoxes: [cut] });
    await waitForDelay(500);
    const body = { cell: 'row/tile-proof/weight', value: 4, operator: 'anna' };
    const answer = await fleet.sendOperator<EditReply>(open, '/table/edits', body);
    expect(answer).toMatchObject({ kind: 'decided', edit: { decision: 'accepted' }, notSeen: [] });
    expect(await readWeights()).toEqual([4, 4]);
  });

  it('down while a box starts: it takes the table from its peer, and an old box that resumes does not go back', async () => {
    fleet = await createFleet();
    const [box = '', kept = ''] = fleet.readBoxes();
    const body = { cell: 'row/tile-proof/weight', value: 5, operator: 'anna' };
    await fleet.sendOperator<EditReply>(kept, '/table/edits', body);
    await fleet.sendFaults({ isDown: true });
    fleet.readProcess(box).sendSignal('SIGKILL');
    await fleet.readProcess(box).exit;
    await fleet.startEntry(box);
    await fleet.startWait(async () => (await readWeights())[0] === 5);
    fleet.readProcess(box).sendSignal('SIGSTOP');
    await fleet.sendFaults({ isDown: false });
    await waitForDelay(500);
    const newer = { ...body, value: 6 };
    await fleet.sendOperator<EditReply>(kept, '/table/edits', newer);
    fleet.readProcess(box).sendSignal('SIGCONT');
    await fleet.startWait(async () => (await readWeights()).every((weight) => weight === 6));
  });

  it('forgetting the log: a box that starts finds the table and the view in what is left', async () => {
    fleet = await createFleet({
      timings: { ...(await import('../helpers/fastTimings')).fastTimings, standingRenewMs: 1000 },
    });
    const [box = '', kept = ''] = fleet.readBoxes();
    await fleet.sendOperator<EditReply>(kept, '/table/edits', {
      cell: 'row/tile-proof/weight',
      value: 8,
      operator: 'anna',
    });
    await waitForDelay(3500);
    await fleet.sendTrim('fleet.table', 2);
    await fleet.sendTrim('fleet.hall.hall-a', 2);
    fleet.readProcess(box).sendSignal('SIGKILL');
    await fleet.readProcess(box).exit;
    await fleet.startEntry(box);
    await fleet.startWait(async () => (await fleet.readStatus(box))?.view?.members.length === 2);
    expect(await readWeights()).toEqual([8, 8]);
  });
});
