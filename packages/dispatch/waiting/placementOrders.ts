import type { CustomerUsage } from '../../customers/CustomerUsage';
import type { PlacementOrderInput } from './PlacementOrderInput';
import type { PlacementOrder } from './PlacementOrder';
import { sortByHeldShares } from './sortByHeldShares';
import type { WaitingStep } from './WaitingStep';

/** Returns a negative number when the left step goes first, 0 for a tie. */
type Comparator = (left: WaitingStep, right: WaitingStep, input: PlacementOrderInput) => number;

const comparePriority: Comparator = (left, right) =>
  left.job.definition.queue.priority - right.job.definition.queue.priority;

const compareLateness: Comparator = (left, right, { wallMs }) =>
  Number(left.objectiveAtMs < wallMs) - Number(right.objectiveAtMs < wallMs);

const compareObjective: Comparator = (left, right) => left.objectiveAtMs - right.objectiveAtMs;

const compareShare: Comparator = (left, right) =>
  Number(left.job.isOverShare) - Number(right.job.isOverShare);

/** Returns the processor usage of a step's customer by its weight; 0 without a customer or a weight. */
const computeWeightedUsage = ({ job }: WaitingStep, usage: CustomerUsage): number => {
  const { customer } = job.definition;
  return customer === undefined || customer.weight === 0
    ? 0
    : usage.getUsedResources(customer.name).cpuMillis / customer.weight;
};

const compareUsage: Comparator = (left, right, { usage }) =>
  computeWeightedUsage(left, usage) - computeWeightedUsage(right, usage);

/** Comparators of each order. Later ones break ties. */
const COMPARATORS: Readonly<Record<Exclude<PlacementOrder, 'held'>, readonly Comparator[]>> = {
  objective: [comparePriority, compareLateness, compareObjective],
  shares: [comparePriority, compareShare, compareLateness, compareObjective],
  usage: [comparePriority, compareUsage, compareLateness, compareObjective],
  sharesThenUsage: [comparePriority, compareShare, compareUsage, compareLateness, compareObjective],
};

const createSorter =
  (comparators: readonly Comparator[]) =>
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

/** Placement orders by name. */
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
