import { toReservedDemand } from '../../jobs/toReservedDemand';
import { resourceMath } from '../../jobs/resourceMath';
import type { AdviceStats } from './AdviceStats';
import type { CandidateSelector } from './CandidateSelector';
import type { EndpointState } from '../endpoints/EndpointState';
import type { Preemptor } from '../placing/Preemptor';
import type { CapacityView } from '../placing/CapacityView';
import type { EndpointPreference } from '../placing/EndpointPreference';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Room asked about for each task that is missing, refusals taken off: other steps take some of it meanwhile. */
const COVER_FACTOR = 2;
/** A question has a fixed cost, beside which so many endpoints cost little. */
const MIN_NAMED = 5;

const toSum = (counts: readonly number[]): number => counts.reduce((sum, count) => sum + count, 0);

/** Asks whenever tickets are lacking: about endpoints with room, or, for what rarely finds any, about all. */
export class AdviceCandidates implements CandidateSelector {
  constructor(
    private readonly room: CapacityView,
    private readonly preemptor: Preemptor,
    private readonly history: AdviceStats,
    private readonly preference: EndpointPreference,
  ) {}

  startRound(): void {
    // Keeps nothing of a round.
  }

  recordStep(): void {
    // Steps are asked about without regard to those before them.
  }

  recordResponse(): void {
    // Keeps nothing of what it has named.
  }

  chooseNamed(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    missing: number,
    now: number,
  ): readonly EndpointState[] {
    const open = eligible.filter((book) => this.isOpen(step, book, now));
    return this.room.isCapacityScarce(step, eligible)
      ? this.chooseForLarge(step, open, missing, now)
      : this.chooseForSmall(step, open, missing);
  }

  /**
   * Those with room now. Those allowed before come first, and alone where they are enough. Of the others so many as the tasks are
   * likely to need: first those of the kinds and the hall that suit the step, of these those about which no other step is asking.
   * A shorter question is answered sooner, and steps that ask at the same time do not count on the same room.
   */
  private chooseForSmall(
    step: WaitingStep,
    open: readonly EndpointState[],
    missing: number,
  ): readonly EndpointState[] {
    const { shape } = step;
    const demand = toReservedDemand(shape);
    const roomy = open.filter((book) => book.hasCapacityFor(demand));
    if (roomy.length === 0 || !this.room.isWithinReserve(step)) {
      return [];
    }
    const allowed = roomy.filter((book) => this.hasBeenAllowed(step, book));
    const fitCount = toSum(allowed.map((book) => this.room.countFittingTasks(book.getFreeCapacity(), shape)));
    if (fitCount >= missing) {
      return allowed;
    }
    const readCost = this.preference.createCostFunction(step, roomy);
    const costs = new Map(roomy.map((book) => [book, readCost(book)]));
    const ranked = [...roomy].sort(
      (left, right) =>
        costs.get(left)! - costs.get(right)! ||
        this.readUnderWay(left) - this.readUnderWay(right) ||
        right.getFreeCpuMillis() - left.getFreeCpuMillis(),
    );
    return this.chooseEnough(step, ranked, missing);
  }

  /** The first of some endpoints that are likely to hold the missing tasks, counting on the usual share of refusals. */
  private chooseEnough(
    step: WaitingStep,
    ranked: readonly EndpointState[],
    missing: number,
  ): readonly EndpointState[] {
    const wanted = (missing * COVER_FACTOR) / this.history.readShare(step.job.definition.queue.name);
    let fitCount = 0;
    let count = 0;
    while (count < ranked.length && (fitCount < wanted || count < MIN_NAMED)) {
      fitCount += this.room.countFittingTasks(ranked[count]!.getFreeCapacity(), step.shape);
      count += 1;
    }
    return ranked.slice(0, count);
  }

  private readUnderWay(book: EndpointState): number {
    return this.history.readUnderWay(book.getProfile().incarnation);
  }

  /**
   * For what rarely finds room: those allowed before that have it or where it can be made; while these are too few, also those
   * not asked about yet, whether or not they have room now, since the answer stands.
   */
  private chooseForLarge(
    step: WaitingStep,
    open: readonly EndpointState[],
    missing: number,
    now: number,
  ): readonly EndpointState[] {
    const { shape } = step;
    const demand = toReservedDemand(shape);
    const unasked = open.filter(
      (book) => !this.hasBeenAllowed(step, book) && resourceMath.isWithin(demand, book.getProfile().capacity),
    );
    const ready = open.filter(
      (book) =>
        this.hasBeenAllowed(step, book) &&
        (book.hasCapacityFor(demand) || this.preemptor.hasRoomAfterPreemption(step, book, demand, now)),
    );
    const readyCount = toSum(
      ready.map((book) => this.room.countFittingTasks(book.getProfile().capacity, shape)),
    );
    // A gang starts whole or not at all; of other steps each task may start by itself.
    if (shape.isGang && readyCount < missing && unasked.length === 0) {
      return [];
    }
    return readyCount >= missing ? ready : [...ready, ...unasked];
  }

  /** True when the service could tell something new of the endpoint that the step could use. */
  private isOpen(step: WaitingStep, book: EndpointState, now: number): boolean {
    const advice = step.job.getAdvice(step.time, step.step);
    const { incarnation: id } = book.getProfile();
    const isAnswered = advice.isRefused(id) || advice.getTicket(id, now) !== undefined;
    return !isAnswered && !this.room.hasMaxTasks(step, book);
  }

  private hasBeenAllowed(step: WaitingStep, book: EndpointState): boolean {
    return step.job.getAdvice(step.time, step.step).hasBeenAllowed(book.getProfile().incarnation);
  }
}
