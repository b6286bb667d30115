/*
 * What was seen: an endpoint of 8 slots held 9 to 12 tasks after one of two entry boxes had been stopped and went on.
 *
 * Order of events: the box asks whether it has the right to place on the endpoint, and has it. It is stopped before the bytes of the order
 * leave. The other box waits until every right of the stopped one has run out, sees from reports that nothing else runs there, and fills the
 * endpoint. The first box goes on, and its order leaves at once: the endpoint guarded nothing and started it.
 *
 * Why several: the client library writes to a connection that was used before only in the next turn of the event loop, so that all
 * orders of one turn lie between their check and their bytes.
 *
 * Evidence: at the first moment with 9 tasks, one to four of them came from the stopped box, all arrived within a millisecond, right as it
 * went on and before its line "View changed."; in one run the time from the check to the bytes was 3,941 ms.
 */
import { existsSync, rmSync, writeFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { afterEach, describe, it } from 'vitest';
import type { Fleet } from '../../dev/fleet/Fleet';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { checkWitness } from '../helpers/checkWitness';
import { createFleet } from '../helpers/createFleet';
import { LoadRun } from '../helpers/LoadRun';

const LOAD = { row: 'plan-refresh', runMs: 60, gapMs: 5, callers: 60 };
const HELD_BOX = 'hall-a-entry-1';
/** The new owner is certain to use the endpoint by then: a right lapses after 1 s here, and a silent box is left out after 1.4 s. */
const HELD_MS = 4000;

describe('an order that is held up between the check of the right and its bytes', () => {
  const file = resolve(`hold-${process.pid}`);
  let fleet: Fleet | undefined;

  afterEach(async () => {
    rmSync(file, { force: true });
    rmSync(`${file}.held`, { force: true });
    delete process.env['NODE_OPTIONS'];
    await fleet?.stop();
  });

  it('is not started once another box has taken the endpoint over', async () => {
    process.env['NODE_OPTIONS'] = `--import ${resolve('tests/helpers/holdOrders.mjs')}`;
    process.env['HOLD_ORDERS_FILE'] = file;
    process.env['HOLD_ORDERS_BOX'] = HELD_BOX;
    fleet = await createFleet();
    const boxes = fleet.readBoxes();
    const kept = boxes.find((box) => box !== HELD_BOX)!;
    const load = new LoadRun({ fleet, boxes, ...LOAD });
    await waitForDelay(500);
    writeFileSync(file, '');
    await fleet.startWait(async () => Promise.resolve(existsSync(`${file}.held`)));
    const heldAt = performance.now();
    await fleet.startWait(async () => (await fleet?.readStatus(kept))?.workers.placeable === 4);
    await waitForDelay(Math.max(500, heldAt + HELD_MS - performance.now()));
    rmSync(file);
    const isWhole = async (): Promise<boolean> => {
      const statuses = (await fleet?.readAllStatus()) ?? [];
      return statuses.length === 2 && statuses.every(({ workers }) => workers.unsettled === 0);
    };
    await fleet.startWait(isWhole);
    await checkWitness(fleet, await load.stop());
  });
});
