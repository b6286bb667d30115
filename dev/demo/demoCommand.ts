import { createRandom } from '../../packages/common/createRandom';
import { waitForDelay } from '../../packages/common/waitForDelay';
import type { Command } from '../../packages/cli/Command';
import { exitCodes } from '../../packages/cli/exitCodes';
import { formatColumns } from '../../packages/cli/formatColumns';
import { writeLine } from '../../packages/cli/writeLine';
import { compareEvents } from '../../packages/timeline/compareEvents';
import { formatEvent } from '../../packages/timeline/formatEvent';
import type { TimelineEvent } from '../../packages/timeline/TimelineEvent';
import { Fleet } from '../fleet/Fleet';
import { startExitOnSignal } from '../startExitOnSignal';
import { checkOverfill } from './checkOverfill';
import { readDoubled } from './readDoubled';
import { demoRows } from './demoRows';
import { DemoTally } from './DemoTally';
import { readWaits } from './readWaits';
import { startLoad } from './startLoad';

const LOAD_MS = 10_000;
const KILL_AT_MS = 3000;
const LEAVE_AT_MS = 5000;
const KILLED = 'hall-medeu-entry-2';
/** Calls that the other boxes may have had under way at the killed one. */
const SENT_ON_LIMIT = 8;
const LEAVING = 'hall-medeu-worker-3';

const startFailures = async (fleet: Fleet, targets: string[]): Promise<void> => {
  await waitForDelay(KILL_AT_MS);
  writeLine(`Killing ${KILLED}.`);
  fleet.readProcess(KILLED).sendSignal('SIGKILL');
  // The balancer notices by its health check.
  targets.splice(targets.indexOf(KILLED), 1);
  await waitForDelay(LEAVE_AT_MS - KILL_AT_MS);
  writeLine(`The platform lists ${LEAVING} as leaving.`);
  await fleet.sendBoxState(LEAVING, 'leaving');
};

const writeTimeline = async (fleet: Fleet): Promise<void> => {
  const boxes = fleet.readBoxes().filter((box) => box !== KILLED);
  const answers = await Promise.all(
    boxes.map((box) => fleet.sendOperator<{ events: TimelineEvent[] }>(box, '/timeline')),
  );
  const events = answers.flatMap((answer) => answer.events).sort(compareEvents);
  writeLine('\nTime line (requests left out):');
  for (const event of events) {
    writeLine(formatEvent(event));
  }
};

/** `dev demo`: stand-ins, three entry processes, a mixed load, a kill and a planned leave; checks what must hold. */
export const demoCommand: Command = {
  name: 'demo',
  summary: 'Run a small deployment for some ten seconds, kill an entry box, stop an endpoint by plan.',
  usage: '',
  options: {},
  run: async () => {
    startExitOnSignal();
    const fleet = await Fleet.create({
      halls: [
        { name: 'hall-medeu', entries: 2, workers: 6 },
        { name: 'hall-alatau', entries: 1, workers: 4 },
      ],
      capacity: { cpus: 16, memoryMb: 32_768, accelerators: 0, slots: 8 },
      rows: demoRows,
      logForm: 'json',
    });
    try {
      writeLine('Starting the stand-ins and three entry processes.');
      await fleet.start();
      const tally = new DemoTally();
      const targets = [...fleet.readBoxes()];
      const failures = startFailures(fleet, targets);
      await startLoad({
        fleet,
        tally,
        random: createRandom(1),
        readTargets: () => targets,
        durationMs: LOAD_MS,
      });
      await failures;
      writeLine('');
      writeLine(
        formatColumns(
          ['row', 'ran', 'not-run', 'unknown', 'cut by the kill', 'p50 ms', 'p99 ms'],
          tally.toLines(),
        ),
      );
      writeLine('\nWaiting until placed, per box and row:');
      writeLine(
        formatColumns(
          ['box', 'row', 'p50 ms', 'p99 ms'],
          await readWaits(
            fleet,
            fleet.readBoxes().filter((box) => box !== KILLED),
          ),
        ),
      );
      const statuses = await fleet.readAllStatus();
      const replicas = statuses.reduce((sum, status) => sum + (status.standing['gazetteer-watch'] ?? 0), 0);
      writeLine(`\nStanding replicas of gazetteer-watch: ${replicas} of 3.`);
      await writeTimeline(fleet);
      const records = await fleet.readRecords();
      const overfilled = records.filter(checkOverfill);
      const doubled = readDoubled(records, ['course-build', 'sheet-stitch']);
      writeLine(
        `\nOverfilled endpoints: ${overfilled.length}. Unrepeatable requests started twice: ${doubled.length}.`,
      );
      const ran = tally.readCount('ran');
      const uncertain = tally.readUncertainBesides(KILLED);
      writeLine(
        `Calls of the boxes that stayed without a certain answer: ${uncertain} (at most those sent on to the killed box).`,
      );
      const isGood =
        uncertain <= SENT_ON_LIMIT &&
        overfilled.length === 0 &&
        doubled.length === 0 &&
        ran > 0 &&
        replicas === 3;
      writeLine(isGood ? 'The demo holds.' : `The demo FAILS. Logs in ${fleet.readFolder()}`);
      return isGood ? exitCodes.done : exitCodes.failed;
    } finally {
      await fleet.stop();
    }
  },
};
