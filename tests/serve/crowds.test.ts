import { afterEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';
import { ManagedProcess } from '../../dev/fleet/ManagedProcess';
import { waitForDelay } from '../../packages/common/waitForDelay';

const CROWD = 'tests/helpers/crowd.mjs';
/** Memory that the settings of each box declare. */
const MEMORY_MB = 200;
const FEW_DESCRIPTORS = 500;
const MANY_DESCRIPTORS = 1500;
const HEAP_MB = 90;
/** Time for the box to deal with what the crowd has sent. */
const SETTLE_MS = 3000;
const ATTEMPTS = 12;
const ATTEMPT_DELAY_MS = 1000;
const MAX_MS = 90_000;
const TASK = { count: 1, cpu: 1000, 'mem-mb': 100 };

type Listener = 'front' | 'ready' | 'internal';

/** Kinds of crowds of `CROWD`, with their numbers of connections, the listener, and the descriptors that the box declares. */
const CROWDS: readonly (readonly [string, number, Listener, number])[] = [
  ['byteChunks', 20, 'front', MANY_DESCRIPTORS],
  ['fewByteChunks', 250, 'front', MANY_DESCRIPTORS],
  ['largeChunks', 700, 'front', MANY_DESCRIPTORS],
  ['announcedBodies', 700, 'front', MANY_DESCRIPTORS],
  ['announcedFarOver', 60, 'front', MANY_DESCRIPTORS],
  ['chunkedFarOver', 60, 'front', MANY_DESCRIPTORS],
  ['requestsAhead', 40, 'front', MANY_DESCRIPTORS],
  ['requestsAheadWithoutHost', 40, 'front', MANY_DESCRIPTORS],
  ['bodiesAhead', 40, 'front', MANY_DESCRIPTORS],
  ['headsWithoutEnd', 1200, 'front', FEW_DESCRIPTORS],
  ['byteChunks', 20, 'ready', MANY_DESCRIPTORS],
  ['largeChunks', 700, 'ready', MANY_DESCRIPTORS],
  ['requestsAhead', 40, 'ready', MANY_DESCRIPTORS],
  ['headsWithoutEnd', 1200, 'ready', FEW_DESCRIPTORS],
  ['byteChunks', 20, 'internal', MANY_DESCRIPTORS],
  ['largeChunks', 700, 'internal', MANY_DESCRIPTORS],
  ['requestsAhead', 40, 'internal', MANY_DESCRIPTORS],
  ['headsWithoutEnd', 1200, 'internal', FEW_DESCRIPTORS],
];

describe('a crowd of clients that do not behave', () => {
  let cell: Cell;
  let crowd: ManagedProcess | undefined;

  afterEach(async () => {
    await crowd?.stop();
    await cell.stop();
  });

  /** Returns the status of the first answer to an ordinary job among several attempts; undefined without any. */
  const sendUntilAnswered = async (id: string, spec: string): Promise<number | undefined> => {
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const answer = await cell.sendJob(cell.boxes[0]!, id, { spec, steps: [TASK] }).catch(() => undefined);
      if (answer !== undefined && answer.status !== 503 && answer.status !== 504) {
        return answer.status;
      }
      await waitForDelay(ATTEMPT_DELAY_MS);
    }
    return undefined;
  };

  it.each(CROWDS)(
    'leaves the process alive, within its memory and descriptors, and able to take a job: %s from %i connections to %s',
    async (kind, connections, listener, maxDescriptors) => {
      cell = await Cell.create({
        boxes: 3,
        executors: 4,
        roomPerExecutor: 4,
        memoryMbPerBox: MEMORY_MB,
        descriptorsPerBox: maxDescriptors,
        nodeArgs: [`--max-old-space-size=${HEAP_MB}`],
      });
      const box = cell.boxes[0]!;
      crowd = new ManagedProcess({
        name: 'crowd',
        args: [CROWD, box[listener], kind, String(connections)],
        logFile: '/dev/null',
      });
      await crowd.startWait('sent');
      await waitForDelay(SETTLE_MS);
      expect(box.process.isAlive()).toBe(true);
      const descriptors = box.process.countDescriptors();
      expect(await sendUntilAnswered(toJobIdText(1), '50')).toBe(200);
      await cell.startUntil(() => cell.isTakingCallers(box));
      expect(box.process.isAlive()).toBe(true);
      expect(descriptors).toBeLessThan(maxDescriptors);
      expect(box.process.readPeakMemoryMb()).toBeLessThan(MEMORY_MB);
      await crowd.stop();
      await cell.startState(box, toJobIdText(1), 'completed');
    },
    MAX_MS,
  );
});
