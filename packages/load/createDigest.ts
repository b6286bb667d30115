import type { CustomerLoad } from './CustomerLoad';
import type { LoadDigest } from './LoadDigest';
import type { LoadSnapshot } from './LoadSnapshot';
import type { QueueLoad } from './QueueLoad';
import { computeDominantShare } from './computeDominantShare';
import { computeFairShares } from './computeFairShares';

interface DigestInput extends Pick<LoadDigest, 'epoch' | 'sequence' | 'madeAtMs'> {
  readonly snapshot: LoadSnapshot;
  /** Returns the rate of starts of a queue; undefined when unknown. */
  readonly getStartsPerSecond: (queue: string) => number | undefined;
}

/** Maximum number of queues in a digest. Every box reads each digest; the limits keep it below 2 kB. */
const MAX_DIGEST_QUEUES = 6;
/** Maximum number of customers in a digest. */
const MAX_DIGEST_CUSTOMERS = 12;
const MS_PER_S = 1000;
/** Upper bound of expected waits, and the expected wait of a queue without starts. */
const MAX_EXPECTED_WAIT_MS = 60_000;

const SHARE_DECIMALS = 4;

const toRoundedShare = (share: number): number => Number(share.toFixed(SHARE_DECIMALS));

const compareWaitingTasks = (left: { waitingTasks: number }, right: { waitingTasks: number }): number =>
  right.waitingTasks - left.waitingTasks;

/** Returns the expected wait of a new task behind the waiting ones, in milliseconds; 0 while the rate is unknown or nothing waits. */
const computeExpectedWaitMs = (waitingTasks: number, startsPerSecond: number | undefined): number =>
  startsPerSecond === undefined || waitingTasks === 0
    ? 0
    : Math.min(MAX_EXPECTED_WAIT_MS, Math.round((waitingTasks * MS_PER_S) / startsPerSecond));

const computeCustomerLoads = ({
  customers,
  capacity,
  otherCustomersShare,
}: LoadSnapshot): readonly CustomerLoad[] => {
  const rows = [...customers].map(([customer, { weight, waitingTasks, waitingDemand, usedResources }]) => {
    const dominantShare = computeDominantShare(usedResources, capacity);
    const demandedShare = dominantShare + computeDominantShare(waitingDemand, capacity);
    return { customer, weight, waitingTasks, dominantShare, demandedShare };
  });
  const fairShares = computeFairShares(
    rows.filter(({ weight }) => weight > 0),
    Math.max(0, 1 - otherCustomersShare),
  );
  return rows
    .map(({ customer, waitingTasks, dominantShare }) => {
      const fairShare = toRoundedShare(fairShares.get(customer) ?? dominantShare);
      return { customer, waitingTasks, dominantShare: toRoundedShare(dominantShare), fairShare };
    })
    .sort(compareWaitingTasks)
    .slice(0, MAX_DIGEST_CUSTOMERS);
};

/** Creates the digest of a snapshot, with the queues and customers that have most waiting tasks, bounded in number. */
export const createDigest = ({ snapshot, getStartsPerSecond, ...head }: DigestInput): LoadDigest => {
  const queues = [...snapshot.queues]
    .sort(compareWaitingTasks)
    .slice(0, MAX_DIGEST_QUEUES)
    .map((load): QueueLoad => {
      const expectedWaitMs = computeExpectedWaitMs(load.waitingTasks, getStartsPerSecond(load.queue));
      return { ...load, expectedWaitMs };
    });
  return {
    ...head,
    capacityCpuMillis: snapshot.capacity.cpuMillis,
    freeCpuMillis: snapshot.freeCpuMillis,
    queues,
    customers: computeCustomerLoads(snapshot),
  };
};
