import type { CustomerLoad } from './CustomerLoad';
import type { LoadDigest } from './LoadDigest';
import type { LoadSnapshot } from './LoadSnapshot';
import type { QueueLoad } from './QueueLoad';
import { computeDominantShare } from './computeDominantShare';
import { computeFairShares } from './computeFairShares';

interface DigestInput extends Pick<LoadDigest, 'epoch' | 'sequence' | 'madeAtMs'> {
  readonly snapshot: LoadSnapshot;
  /** Tasks of a queue that start in a second; undefined when not known. */
  readonly getStartsPerSecond: (queue: string) => number | undefined;
}

/** A digest is read by every box: with these and names of 30 letters it stays below 2 kB. */
const MAX_QUEUES = 6;
const MAX_CUSTOMERS = 12;
const MS_PER_S = 1000;
/** Nothing is expected to wait for longer than this; a queue of which nothing starts at all is expected to wait so long. */
const LONGEST_WAIT_MS = 60_000;

const SHARE_DIGITS = 4;

const toRounded = (share: number): number => Number(share.toFixed(SHARE_DIGITS));

const measureByWaiting = (left: { waitingTasks: number }, right: { waitingTasks: number }): number =>
  right.waitingTasks - left.waitingTasks;

/** A newcomer waits while those before it start; nothing is expected where the rate is not known yet. */
const measureWaitMs = (waitingTasks: number, startsPerSecond: number | undefined): number =>
  startsPerSecond === undefined || waitingTasks === 0
    ? 0
    : Math.min(LONGEST_WAIT_MS, Math.round((waitingTasks * MS_PER_S) / startsPerSecond));

const toCustomers = ({ customers, capacity, othersShare }: LoadSnapshot): readonly CustomerLoad[] => {
  const rows = [...customers].map(([customer, { weight, waitingTasks, waiting, held }]) => {
    const dominantShare = computeDominantShare(held, capacity);
    const demandedShare = dominantShare + computeDominantShare(waiting, capacity);
    return { customer, weight, waitingTasks, dominantShare, demandedShare };
  });
  const owed = computeFairShares(
    rows.filter(({ weight }) => weight > 0),
    Math.max(0, 1 - othersShare),
  );
  return rows
    .map(({ customer, waitingTasks, dominantShare }) => {
      const fairShare = toRounded(owed.get(customer) ?? dominantShare);
      return { customer, waitingTasks, dominantShare: toRounded(dominantShare), fairShare };
    })
    .sort(measureByWaiting)
    .slice(0, MAX_CUSTOMERS);
};

/** Cuts what a leader knows down to what all boxes are told. */
export const createDigest = ({
  snapshot,
  getStartsPerSecond: readStartsPerSecond,
  ...head
}: DigestInput): LoadDigest => {
  const queues = [...snapshot.queues]
    .sort(measureByWaiting)
    .slice(0, MAX_QUEUES)
    .map((load): QueueLoad => {
      const expectedWaitMs = measureWaitMs(load.waitingTasks, readStartsPerSecond(load.queue));
      return { ...load, expectedWaitMs };
    });
  return {
    ...head,
    capacityCpuMillis: snapshot.capacity.cpuMillis,
    freeCpuMillis: snapshot.freeCpuMillis,
    queues,
    customers: toCustomers(snapshot),
  };
};
