import type { CustomerUsage } from '../../customers/CustomerUsage';
import type { PlacementOrderInput } from './PlacementOrderInput';
import type { PlacementOrder } from './PlacementOrder';
import { sortByHeldShares } from './sortByHeldShares';
import type { WaitingStep } from './WaitingStep';

/** Comparator of waiting steps: negative when the left step goes first, positive when the right one does, 0 for a tie. */
type StepComparator = (left: WaitingStep, right: WaitingStep, input: PlacementOrderInput) => number;

const comparePriority: StepComparator = (left, right) =>
  left.job.getQueue().priority - right.job.getQueue().priority;

/** Puts steps whose objective has passed last. */
const compareLateness: StepComparator = (left, right, { wallMs }) =>
  Number(left.objectiveAtMs < wallMs) - Number(right.objectiveAtMs < wallMs);

const compareObjective: StepComparator = (left, right) => left.objectiveAtMs - right.objectiveAtMs;

/** Puts steps last whose customer was over its share of the job rate when the job was accepted. */
const compareIsOverShare: StepComparator = (left, right) =>
  Number(left.job.isOverShare) - Number(right.job.isOverShare);

/** Returns the processor usage of a step's customer divided by its weight; 0 without a customer, or for a weight of 0. */
const computeWeightedUsage = ({ job }: WaitingStep, usage: CustomerUsage): number => {
  const { customer } = job.definition;
  return customer === undefined || customer.weight === 0
    ? 0
    : usage.getUsedResources(customer.name).cpuMillis / customer.weight;
};

const compareUsage: StepComparator = (left, right, { usage }) =>
  computeWeightedUsage(left, usage) - computeWeightedUsage(right, usage);

/** Comparators of each order. Each one breaks the ties of those before it. */
const COMPARATORS: Readonly<Record<Exclude<PlacementOrder, 'held'>, readonly StepComparator[]>> = {
  objective: [comparePriority, compareLateness, compareObjective],
  shares: [comparePriority, compareIsOverShare, compareLateness, compareObjective],
  usage: [comparePriority, compareUsage, compareLateness, compareObjective],
  sharesThenUsage: [comparePriority, compareIsOverShare, compareUsage, compareLateness, compareObjective],
};

/** Creates a function that returns the steps sorted by several comparators; later ones break the ties of earlier ones. */
const createSorter =
  (comparators: readonly StepComparator[]) =>
  (waiting: readonly WaitingStep[], input: PlacementOrderInput): readonly WaitingStep[] =>
    [...waiting].sort((left, right) => {
      for (const comparator of comparators) {
        const difference = comparator(left, right, input);
        if (difference !== 0) {
          return difference;
        }
      }
      return 0;
    });

const hasWeightedCustomer = (waiting: readonly WaitingStep[]): boolean =>
  waiting.some(({ job }) => (job.definition.customer?.weight ?? 0) > 0);

const sortByShares = createSorter(COMPARATORS.shares);

/** Function that sorts waiting steps into each placement order, by its name. */
export const placementOrders: Readonly<
  Record<
    PlacementOrder,
    {
      readonly sortSteps: (
        waiting: readonly WaitingStep[],
        input: PlacementOrderInput,
      ) => readonly WaitingStep[];
    }
  >
> = {
  objective: { sortSteps: createSorter(COMPARATORS.objective) },
  shares: { sortSteps: sortByShares },
  usage: { sortSteps: createSorter(COMPARATORS.usage) },
  sharesThenUsage: { sortSteps: createSorter(COMPARATORS.sharesThenUsage) },
  // Without weighted customers there are no fair shares.
  held: {
    sortSteps: (waiting, input) =>
      (hasWeightedCustomer(waiting) ? sortByHeldShares : sortByShares)(waiting, input),
  },
};
