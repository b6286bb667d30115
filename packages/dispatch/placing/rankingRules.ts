import type { EndpointState } from '../endpoints/EndpointState';
import type { RankingRule } from './RankingRule';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Costs outweigh each other in this order; within one the tightest fit wins. */
const FAILED_HERE_COST = 1000;
const DOUBTFUL_COST = 500;
const OTHER_RACK_COST = 100;
const SERVING_NEIGHBOUR_COST = 50;

const measureTrust = ({ job, time, step }: WaitingStep, book: EndpointState, now: number): number => {
  const failedHere = job.hasFailedOn(time, step, book.getProfile().incarnation) ? FAILED_HERE_COST : 0;
  return failedHere + (book.isDegraded(now) ? DOUBTFUL_COST : 0);
};

const measureDataDistance = ({ shape }: WaitingStep, book: EndpointState): number =>
  shape.dataRack !== '' && !book.getProfile().labels.includes(shape.dataRack) ? OTHER_RACK_COST : 0;

const toShare = (free: number, whole: number): number => (whole === 0 ? 1 : free / whole);

/** Free share of the scarcest resource, 0 to 1, so that tasks that need little are packed beside each other. */
const measureFreeShare = (book: EndpointState): number => {
  const { capacity } = book.getProfile();
  const free = book.getFreeCapacity();
  return Math.min(
    toShare(free.cpuMillis, capacity.cpuMillis),
    toShare(free.memoryMb, capacity.memoryMb),
    toShare(free.accelerators, capacity.accelerators),
  );
};

const measureShared = (step: WaitingStep, book: EndpointState, now: number): number =>
  measureTrust(step, book, now) + measureDataDistance(step, book);

const measureServing = (book: EndpointState): number => {
  let count = 0;
  for (const run of book.getRuns()) {
    count += run.isServing ? 1 : 0;
  }
  return count;
};

/** Kinds of steps, and how endpoints are ranked for each. */
export const rankingRules: Readonly<Record<'batch' | 'serving' | 'filler', RankingRule>> = {
  batch: {
    measureFit: (step, book, now) => measureShared(step, book, now) + measureFreeShare(book),
  },
  // Replicas are spread, so that one failure takes few of them.
  serving: {
    measureFit: (step, book, now) => measureShared(step, book, now) - measureFreeShare(book),
  },
  // Fillers disturb serving tasks, so they go where none are, and where most is left unused.
  filler: {
    measureFit: (step, book, now) =>
      measureShared(step, book, now) + SERVING_NEIGHBOUR_COST * measureServing(book) - measureFreeShare(book),
  },
};
