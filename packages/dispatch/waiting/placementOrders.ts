import type { CustomerUsage } from '../../customers/CustomerUsage';
import type { OrderInput } from './OrderInput';
import type { PlacementOrder } from './PlacementOrder';
import { toHeldOrder } from './toHeldOrder';
import type { WaitingStep } from './WaitingStep';

/** Negative when the left step goes first, 0 when the rule does not tell. */
type Rule = (left: WaitingStep, right: WaitingStep, input: OrderInput) => number;

const measurePriority: Rule = (left, right) =>
  left.job.definition.queue.priority - right.job.definition.queue.priority;

const measureLateness: Rule = (left, right, { wallMs }) =>
  Number(left.objectiveAtMs < wallMs) - Number(right.objectiveAtMs < wallMs);

const measureObjective: Rule = (left, right) => left.objectiveAtMs - right.objectiveAtMs;

const measureShare: Rule = (left, right) => Number(left.job.isOverShare) - Number(right.job.isOverShare);

/** Processors that a step's customer has running for each unit of its weight; 0 for jobs of no customer. */
const readWeightedUsage = ({ job }: WaitingStep, usage: CustomerUsage): number => {
  const { customer } = job.definition;
  return customer === undefined || customer.weight === 0
    ? 0
    : usage.getUsed(customer.name).cpuMillis / customer.weight;
};

const measureUsage: Rule = (left, right, { usage }) =>
  readWeightedUsage(left, usage) - readWeightedUsage(right, usage);

/** Rules of each order, the first that tells decides. */
const RULES: Readonly<Record<Exclude<PlacementOrder, 'held'>, readonly Rule[]>> = {
  objective: [measurePriority, measureLateness, measureObjective],
  shares: [measurePriority, measureShare, measureLateness, measureObjective],
  usage: [measurePriority, measureUsage, measureLateness, measureObjective],
  sharesThenUsage: [measurePriority, measureShare, measureUsage, measureLateness, measureObjective],
};

const toSorter =
  (rules: readonly Rule[]) =>
  (waiting: readonly WaitingStep[], input: OrderInput): readonly WaitingStep[] =>
    [...waiting].sort((left, right) => {
      for (const rule of rules) {
        const difference = rule(left, right, input);
        if (difference !== 0) {
          return difference;
        }
      }
      return 0;
    });

const hasShares = (waiting: readonly WaitingStep[]): boolean =>
  waiting.some(({ job }) => (job.definition.customer?.weight ?? 0) > 0);

const toSharesOrder = toSorter(RULES.shares);

/** Sorts waiting steps for placement, by order. */
export const placementOrders: Readonly<
  Record<
    PlacementOrder,
    { readonly sortSteps: (waiting: readonly WaitingStep[], input: OrderInput) => readonly WaitingStep[] }
  >
> = {
  objective: { sortSteps: toSorter(RULES.objective) },
  shares: { sortSteps: toSharesOrder },
  usage: { sortSteps: toSorter(RULES.usage) },
  sharesThenUsage: { sortSteps: toSorter(RULES.sharesThenUsage) },
  // Without customers to divide room among, this order is no other than the usual one.
  held: {
    sortSteps: (waiting, input) => (hasShares(waiting) ? toHeldOrder : toSharesOrder)(waiting, input),
  },
};
