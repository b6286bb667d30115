/*
 * What callers saw: a box whose calls to the log are turned away answers 503, though the log serves the leader, which could take the job.
 *
 * Order of events: the box reads the log once and is turned away a moment later. Another box is elected, or has announced itself, after that
 * one read. A job comes; the box does not know whom to ask, tries its own way to the log, and refuses after about 1 s.
 *
 * Cause: who leads, and where each box can be called, stood in the log alone. A box that the log turns away learned neither, for as long as that
 * lasts, though the leader itself could reach it.
 *
 * Evidence: "A record was not written by any way.", own refused, ownFailingMs 985, leader noAddress, isReadingSigns false, beside "Leader changed."
 * 3.8 s earlier; in another run leader unknown. No question to the leader was ever sent.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { toJobIdText } from '../../dev/cell/toJobIdText';

const BODY = { spec: '20', steps: [{ count: 1, cpu: 1000, 'mem-mb': 100 }] };
/** Other boxes take a silent leader's place within 3 s, and a box is told of it within a second more. */
const LEARN_MS = 4000;
/** A log that is slow: the largest time of one append that was seen in it. */
const SLOW_MS = 240;

describe('a box that the log turns away', () => {
  let cell: Cell;

  afterEach(async () => {
    expect(cell.runChecker.getViolations()).toEqual([]);
    await cell.stop();
  });

  it('learns who leads from the leader itself, and takes jobs through it', async () => {
    cell = await Cell.create({ boxes: 1, laterBoxes: 2, executors: 2, roomPerExecutor: 4 });
    const away = await cell.startLeader();
    cell.log.setFault('busy', away.name);
    await cell.startLaterBoxes();
    await cell.startUntil(async () => Promise.resolve(cell.readLeaders().some((box) => box !== away)));
    await waitForDelay(LEARN_MS);
    expect((await cell.sendJob(away, toJobIdText(1), BODY)).status).toBe(200);
    await cell.startState(away, toJobIdText(1), 'completed');
    expect(cell.readLeaders()).not.toContain(away);
  });

  it('takes jobs through the leader also while the log is slow', async () => {
    cell = await Cell.create({ boxes: 3, executors: 2, roomPerExecutor: 4 });
    const leader = await cell.startLeader();
    const away = cell.boxes.find((one) => one !== leader)!;
    await waitForDelay(1500);
    cell.log.setLatency(SLOW_MS);
    cell.log.setFault('busy', away.name);
    await waitForDelay(2500);
    for (let number = 1; number <= 5; number += 1) {
      expect((await cell.sendJob(away, toJobIdText(number), BODY)).status).toBe(200);
    }
  });
});
