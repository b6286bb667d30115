/*
 * Guards against progress that outgrows a record of the log, and against parts of it that do not add up to the whole when a leader stops between two of
 * them or reads what an earlier version has written.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { jobKeys } from '../packages/jobs/jobKeys';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { RunOutcome } from '../packages/jobs/RunOutcome';
import { parseProgress } from '../packages/jobs/parseProgress';
import { progressTexts } from '../packages/jobs/progressTexts';
import type { TaskAddress } from '../packages/jobs/TaskAddress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createStep } from './helpers/createStep';

const MAX_RECORD_BYTES = 262_144;
const DEFINITION = {
  ...createJobDefinition(1, [
    createStep({ count: 300 }),
    createStep({ count: 7 }),
    createStep({ count: 401 }),
  ]),
  times: 3,
};
const GANG = createJobDefinition(2, [createStep({ count: 600, isGang: true })]);
const ENDPOINT = toId<EndpointIncarnation>('i-0123456789abcdef');

/** Something that happens to a task. */
interface TaskEvent extends TaskAddress {
  readonly outcome: RunOutcome | 'placed';
  readonly checkpoint: string;
  readonly hasCrash: boolean;
}

const arbitraryEvents: fc.Arbitrary<readonly TaskEvent[]> = fc.array(
  fc
    .record({
      repetition: fc.nat(2),
      step: fc.nat(2),
      position: fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }),
      outcome: fc.constantFrom<RunOutcome | 'placed'>('placed', 'done', 'failed', 'interrupted'),
      checkpoint: fc.constantFrom('', '00000bb87a21d94b'),
      hasCrash: fc.boolean(),
    })
    .map(({ position, ...event }) => ({
      ...event,
      index: Math.floor(position * DEFINITION.steps[event.step]!.count),
    })),
  { maxLength: 60 },
);

const applyEvents = (progress: JobProgress, events: readonly TaskEvent[]): void => {
  for (const { outcome, checkpoint, hasCrash, ...address } of events) {
    const run = progress.getTask(address)!.runNumber + 1;
    progress.recordRunPlaced(address, run, ENDPOINT);
    if (hasCrash) {
      progress.recordCrash(address, { endpoint: ENDPOINT, blame: 'sole', ageMs: 12 });
    }
    if (outcome !== 'placed') {
      progress.recordRunEnd(address, run, outcome, checkpoint);
    }
  }
};

const listParts = (progress: JobProgress): readonly number[] =>
  Array.from({ length: progress.getNumbering().countParts() }, (_none, part) => part);

const formatParts = (progress: JobProgress): Map<number, string> =>
  new Map(listParts(progress).map((part) => [part, progressTexts.formatPart(progress, part)]));

describe('the numbering of tasks', () => {
  it('divides all tasks into parts, each task into one', () => {
    const numbering = new JobProgress(DEFINITION).getNumbering();
    const addresses = Array.from({ length: numbering.countParts() }, (_none, part) => {
      const listed = numbering.listAddresses(part);
      listed.forEach((address) => expect(numbering.getPart(address)).toBe(part));
      return listed;
    }).flat();
    expect(addresses).toHaveLength(3 * (300 + 7 + 401));
    expect(new Set(addresses.map((address) => JSON.stringify(address))).size).toBe(addresses.length);
  });
});

describe('progress that is read from its parts', () => {
  it('is the same as that which is read from the whole', () => {
    fc.assert(
      fc.property(arbitraryEvents, (events) => {
        const progress = new JobProgress(DEFINITION);
        applyEvents(progress, events);
        const text = progressTexts.formatWhole(DEFINITION, progress);
        const parts = formatParts(progress);
        const read = parseProgress(DEFINITION, { text: progressTexts.formatDivided(), parts })!;
        expect(progressTexts.formatWhole(DEFINITION, read)).toBe(text);
        expect(read.getParts().getForm()).toBe('parts');
      }),
      { numRuns: 60 },
    );
  });

  it('is as old as the whole record only where there is no part', () => {
    fc.assert(
      fc.property(
        arbitraryEvents,
        arbitraryEvents,
        fc.infiniteStream(fc.boolean()),
        (earlier, later, isWritten) => {
          const progress = new JobProgress(DEFINITION);
          applyEvents(progress, earlier);
          const text = progressTexts.formatWhole(DEFINITION, progress);
          const old = parseProgress(DEFINITION, { text })!;
          applyEvents(progress, later);
          const written = listParts(progress).filter(() => isWritten.next().value);
          const parts = new Map([...formatParts(progress)].filter(([part]) => written.includes(part)));
          const read = parseProgress(DEFINITION, { text, parts })!;
          for (const part of listParts(progress)) {
            const expected = parts.has(part) ? progress : old;
            expect(progressTexts.formatPart(read, part)).toBe(progressTexts.formatPart(expected, part));
          }
          expect(read.getParts().getForm()).toBe(parts.size > 0 ? 'dividing' : 'whole');
        },
      ),
      { numRuns: 60 },
    );
  });

  it('lacks only the tasks of a malformed part, which is reported', () => {
    const progress = new JobProgress(DEFINITION);
    const events = [0, 299].map((index) => ({
      ...{ repetition: 0, step: 0, index, outcome: 'done' as const },
      ...{ checkpoint: '', hasCrash: false },
    }));
    applyEvents(progress, events);
    const malformed: (number | undefined)[] = [];
    const parts = formatParts(progress).set(0, '{"tasks":');
    const read = parseProgress(DEFINITION, {
      text: progressTexts.formatDivided(),
      parts,
      handleMalformed: (part) => malformed.push(part),
    })!;
    expect(malformed).toEqual([0]);
    expect(read.getTask({ repetition: 0, step: 0, index: 0 })!.phase).toBe('waiting');
    expect(read.getTask({ repetition: 0, step: 0, index: 299 })!.phase).toBe('done');
  });

  it('has a gang done of which one part says so', () => {
    const progress = new JobProgress(GANG);
    for (let index = 0; index < 600; index += 1) {
      progress.recordRunPlaced({ repetition: 0, step: 0, index }, 1, ENDPOINT);
    }
    const parts = new Map([0, 1, 2].map((part) => [part, progressTexts.formatPart(progress, part)]));
    progress.recordRunEnd({ repetition: 0, step: 0, index: 599 }, 1, 'done', '');
    progress.recordGangDone(0, 0);
    parts.set(2, progressTexts.formatPart(progress, 2));
    expect(parseProgress(GANG, { text: undefined, parts })!.isAllDone()).toBe(true);
  });

  it('has the end of the job, whatever parts are left', () => {
    const progress = new JobProgress(DEFINITION);
    const parts = formatParts(progress);
    progress.recordJobEnd('completed', 17);
    const read = parseProgress(DEFINITION, { text: progressTexts.formatEnd(progress), parts })!;
    expect([read.getState(), read.getEndedAtMs()]).toEqual(['completed', 17]);
  });
});

describe('the records of a job in parts', () => {
  it('each fit into the log, also when each task has all that may be recorded of one', () => {
    const progress = new JobProgress(DEFINITION);
    const addresses = listParts(progress).flatMap((part) => progress.getNumbering().listAddresses(part));
    for (const address of addresses) {
      progress.recordRunPlaced(address, 123_456, ENDPOINT);
      progress.recordCheckpoint(address, '00000bb87a21d94b'.repeat(4));
      for (let number = 0; number < 5; number += 1) {
        const endpoint = toId<EndpointIncarnation>(`i-0123456789abcde${number}`);
        progress.recordCrash(address, { endpoint, blame: 'inherited', ageMs: 1234567 });
        const other = toId<EndpointIncarnation>(`i-0123456789abcdf${number}`);
        progress.recordUnconfirmedCrash(address, { endpoint: other, blame: 'inherited', ageMs: 1234567 });
      }
    }
    for (const text of formatParts(progress).values()) {
      expect(text.length).toBeLessThan(MAX_RECORD_BYTES);
    }
  });

  it('are those of no job, or of an ended one, for an earlier version, which runs no task of them again', () => {
    const { id } = DEFINITION;
    expect(jobKeys.parseProgressKey(jobKeys.toProgressPartKey(id, 7))).toEqual({ job: id, part: 7 });
    expect(jobKeys.parseProgressKey(jobKeys.toProgressKey(id))).toEqual({ job: id, part: undefined });
    expect(JSON.parse(progressTexts.formatDivided())).toMatchObject({ ending: 'cancelled', tasks: [] });
  });
});

describe('the waiting tasks of a large step', () => {
  it('are those that a search of all tasks finds', () => {
    const large = createJobDefinition(3, [createStep({ count: 1500 })]);
    const arbitraryIndexes = fc.array(fc.tuple(fc.nat(1499), fc.boolean()), { maxLength: 80 });
    fc.assert(
      fc.property(arbitraryIndexes, fc.nat(30), (changes, listEvery) => {
        const progress = new JobProgress(large);
        for (const [number, [index, isPlaced]] of changes.entries()) {
          const address = { repetition: 0, step: 0, index };
          const { runNumber } = progress.getTask(address)!;
          if (isPlaced) {
            progress.recordRunPlaced(address, runNumber + 1, ENDPOINT);
          } else {
            progress.recordRunEnd(address, runNumber, index % 2 === 0 ? 'done' : 'interrupted', '');
          }
          if (number % (listEvery + 1) === 0) {
            progress.listWaitingIndexes(0, 0, 10);
          }
        }
        const waiting = progress
          .listTasks(0, 0)
          .flatMap(({ phase }, index) => (phase === 'waiting' ? [index] : []));
        expect(progress.countWaitingTasks(0, 0)).toBe(waiting.length);
        expect(progress.listWaitingIndexes(0, 0, 20)).toEqual(waiting.slice(0, 20));
      }),
    );
  });
});
