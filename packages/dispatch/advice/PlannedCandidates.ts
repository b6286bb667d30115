import { toReservedDemand } from '../../jobs/toReservedDemand';
import { resourceMath } from '../../jobs/resourceMath';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { AdviceStats } from './AdviceStats';
import type { CandidateSelector } from './CandidateSelector';
import { chooseQuestionSize } from './chooseQuestionSize';
import type { EndpointState } from '../endpoints/EndpointState';
import type { EndpointPreference } from '../placing/EndpointPreference';
import type { Preemptor } from '../placing/Preemptor';
import { RoomAhead } from './RoomAhead';
import { RoomClaims } from './RoomClaims';
import type { CapacityView } from '../placing/CapacityView';
import { toStepName } from '../waiting/toStepName';
import type { WaitingStep } from '../waiting/WaitingStep';

interface PlannedCandidatesOptions {
  readonly room: CapacityView;
  readonly preemptor: Preemptor;
  readonly history: AdviceStats;
  readonly preference: EndpointPreference;
}

/** An endpoint about which could be asked. */
interface Candidate {
  readonly book: EndpointState;
  /** Tasks of the step for which it has room. */
  readonly places: number;
  /** Chance that the step may use it. */
  readonly allowed: number;
  /** Chance that the step may use it, and that the room is still there when the answer comes. */
  readonly chance: number;
  readonly cost: number;
}

/** When a question would be asked, and for when. */
interface Moment {
  /** The step may have less urgent work stopped. */
  readonly canStop: boolean;
  readonly neededUntil: number;
  readonly now: number;
}

/** What a step has, and what it could ask about. */
interface Prospect {
  /** Places on endpoints whose tickets still hold when an answer comes. */
  held: number;
  /** With room now. */
  readonly roomy: Candidate[];
  /** Without room now. */
  readonly full: Candidate[];
  /** With a ticket that holds, but not for long. */
  readonly aging: Candidate[];
}

/** Of the room that is seen now half is taken by others after so long. */
const ROOM_HALF_LIFE_MS = 1000;
/** Chance that an endpoint without room has some for the step while its ticket holds. */
const ROOM_COMES = 0.3;
/** From the answer to a question to a start that uses it. */
const USE_ANSWER_MS = 120;
/** What a question takes beside the service's own time. */
const QUESTION_OVERHEAD_MS = 30;
/** Tasks that start one by one are not kept waiting for a longer question than so many endpoints make. */
const MAX_NAMED_IN_PART = 40;
/** Most endpoints that the service takes in one call. */
const MAX_NAMED = 100;
/** Tasks of a step on one endpoint for which stops make room. */
const MAX_PLACES_BY_STOPS = 3;
/** A gang asks once so much of the room that it lacks is there: more comes while the question is under way, and while the tickets hold. */
const ROOM_AT_QUESTION_SHARE = 0.4;
/** A start that may be expected of an answer is worth a turn of so long at once. */
const TURN_PER_START_MS = 50;
/** A step whose questions are worth less asks once in so long. */
const MORE_EVERY_MS = 500;
/** A ticket with less of its life left is renewed by any question: one endpoint more is cheap, another question is not. */
const AGING_SHARE = 0.6;

const toPlaceSum = (candidates: readonly Candidate[]): number =>
  candidates.reduce((sum, { places }) => sum + places, 0);

/** Asks only where the answer is expected to find room, and for as many endpoints as make a second round unlikely. */
export class PlannedCandidates implements CandidateSelector {
  private readonly claims = new RoomClaims();
  private readonly ahead = new RoomAhead();

  constructor(private readonly options: PlannedCandidatesOptions) {}

  startRound(): void {
    this.ahead.startRound();
  }

  recordStep(step: WaitingStep, missing: number): void {
    this.ahead.recordStep(step, missing);
  }

  chooseNamed(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    missing: number,
    neededUntil: number,
    now: number,
  ): readonly EndpointState[] {
    const { room } = this.options;
    const canStop = room.isCapacityScarce(step, eligible);
    const isPatient = !room.isMostUrgent(step.job.definition.queue);
    if (isPatient && this.ahead.isTaken(step, eligible, canStop)) {
      return [];
    }
    const prospect = this.readProspect(step, eligible, { canStop, neededUntil, now });
    const needed = missing - prospect.held;
    if (needed <= 0 || !this.isWorthAsking(step, prospect, needed, now)) {
      return [];
    }
    const chosen = this.chooseCandidates(step, prospect, needed);
    this.recordClaims(step, chosen, needed);
    return chosen.map(({ book }) => book);
  }

  recordResponse(step: string, named: readonly EndpointIncarnation[]): void {
    this.claims.recordAnswer(step, named);
  }

  private chooseCandidates(step: WaitingStep, prospect: Prospect, needed: number): readonly Candidate[] {
    const { isGang } = step.shape;
    const { decisionMs, perEndpointMs } = step.job.definition.queue.advice!;
    const roomy = this.toRanked(prospect.roomy);
    const ranked = [...roomy, ...this.toRanked(prospect.full)];
    const count = chooseQuestionSize(ranked, needed, {
      roundMs: decisionMs + QUESTION_OVERHEAD_MS,
      perEndpointMs,
      maxNamed: isGang ? MAX_NAMED : MAX_NAMED_IN_PART,
    });
    const aging = isGang ? prospect.aging : [];
    return [...ranked.slice(0, count), ...aging].slice(0, MAX_NAMED);
  }

  /** A gang needs all its places at one moment; of other steps each task may start by itself. */
  private isWorthAsking(step: WaitingStep, { roomy }: Prospect, needed: number, now: number): boolean {
    const expected = roomy.reduce((sum, { places, allowed }) => sum + places * allowed, 0);
    const advice = step.job.getAdvice(step.time, step.step);
    const { decisionMs, validityMs } = step.job.definition.queue.advice!;
    if (step.shape.isGang) {
      // The usual share of refusals may be wrong for this one.
      const isDue = advice.readIdleMs(now) >= validityMs && toPlaceSum(roomy) >= needed;
      return isDue || expected >= needed * ROOM_AT_QUESTION_SHARE;
    }
    const isDue = now - advice.readAnsweredAt() >= MORE_EVERY_MS;
    const isWorthIt = expected * TURN_PER_START_MS >= decisionMs;
    return roomy.length > 0 && (isDue || isWorthIt) && this.options.room.isWithinReserve(step);
  }

  /** Those that are known to be allowed first; of each kind those that suit the step, and about which no other step asks. */
  private toRanked(candidates: readonly Candidate[]): readonly Candidate[] {
    return [...candidates].sort(
      (left, right) =>
        right.chance - left.chance ||
        left.cost - right.cost ||
        this.readUnderWay(left) - this.readUnderWay(right) ||
        right.places - left.places ||
        right.book.getFreeCpuMillis() - left.book.getFreeCpuMillis(),
    );
  }

  private readUnderWay({ book }: Candidate): number {
    return this.options.history.readUnderWay(book.getProfile().incarnation);
  }

  private readProspect(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    { canStop, neededUntil, now }: Moment,
  ): Prospect {
    const { room, history, preference } = this.options;
    const { queue } = step.job.definition;
    const { decisionMs, perEndpointMs, validityMs } = queue.advice!;
    const advice = step.job.getAdvice(step.time, step.step);
    const answerMs = decisionMs + perEndpointMs * MAX_NAMED_IN_PART;
    const answerAt = Math.max(neededUntil, now + answerMs + USE_ANSWER_MS);
    const stays = 0.5 ** (answerMs / ROOM_HALF_LIFE_MS);
    const freshUntil = now + validityMs * AGING_SHARE;
    const demand = toReservedDemand(step.shape);
    const share = history.readShare(queue.name);
    const isMostUrgent = room.isMostUrgent(queue);
    const readCost = preference.createCostFunction(step, eligible);
    const prospect: Prospect = { held: 0, roomy: [], full: [], aging: [] };
    for (const book of eligible) {
      const { incarnation: life, capacity } = book.getProfile();
      if (advice.isRefused(life) || room.hasMaxTasks(step, book)) {
        continue;
      }
      const places = this.measurePlaces(step, book, canStop, now);
      if (advice.getTicket(life, answerAt) !== undefined) {
        prospect.held += places;
        if (places > 0 && advice.getTicket(life, freshUntil) === undefined) {
          prospect.aging.push({ book, places, allowed: 1, chance: 1, cost: 0 });
        }
        continue;
      }
      const allowed = advice.hasBeenAllowed(life) ? 1 : share;
      const unclaimed = places === 0 || isMostUrgent ? places : this.measureUnclaimed(step, book, places);
      const cost = readCost(book);
      if (unclaimed > 0) {
        prospect.roomy.push({ book, places: unclaimed, allowed, chance: allowed * stays, cost });
      } else if (resourceMath.isWithin(demand, capacity)) {
        prospect.full.push({ book, places: 1, allowed, chance: allowed * ROOM_COMES, cost });
      }
    }
    return prospect;
  }

  /** Tasks of the step for which the endpoint has room, by what is free and what stops would free. */
  private measurePlaces(step: WaitingStep, book: EndpointState, canStop: boolean, now: number): number {
    const room = resourceMath.toSum(book.getFreeCapacity(), this.readStopping(book));
    const places = this.options.room.countFittingTasks(room, step.shape);
    const mayStop = canStop && places < MAX_PLACES_BY_STOPS;
    return mayStop ? Math.max(places, this.measurePlacesByStops(step, book, now)) : places;
  }

  /** Room of runs that are being stopped, be it for this step. */
  private readStopping(book: EndpointState): TaskDemand {
    let room = resourceMath.NOTHING;
    for (const run of book.getRuns()) {
      room = run.stage === 'stopping' ? resourceMath.toSum(room, run.demand) : room;
    }
    return room;
  }

  private measurePlacesByStops(step: WaitingStep, book: EndpointState, now: number): number {
    const { preemptor } = this.options;
    const { shape } = step;
    const one = toReservedDemand(shape);
    const most =
      shape.maxPerEndpoint === 0 ? MAX_PLACES_BY_STOPS : Math.min(MAX_PLACES_BY_STOPS, shape.maxPerEndpoint);
    let count = 0;
    while (
      count < most &&
      preemptor.hasRoomAfterPreemption(step, book, resourceMath.toScaled(one, count + 1), now)
    ) {
      count += 1;
    }
    return count;
  }

  /** Of the places on an endpoint those on which no question of a step counts that is as urgent. */
  private measureUnclaimed(step: WaitingStep, book: EndpointState, places: number): number {
    const { room } = this.options;
    const claimed = this.claims.readClaimed(
      book.getProfile().incarnation,
      step.job.definition.queue.priority,
    );
    if (claimed === resourceMath.NOTHING) {
      return places;
    }
    const whole = resourceMath.toScaled(toReservedDemand(step.shape), places);
    return room.countFittingTasks(resourceMath.toDifference(whole, claimed), step.shape);
  }

  /** The tasks that are needed will take the same part of the places on each endpoint. */
  private recordClaims(step: WaitingStep, chosen: readonly Candidate[], needed: number): void {
    const demand = toReservedDemand(step.shape);
    const part = Math.min(1, needed / Math.max(1, toPlaceSum(chosen)));
    const { priority } = step.job.definition.queue;
    for (const { book, places } of chosen) {
      const claim = { step: toStepName(step), priority, room: resourceMath.toScaled(demand, places * part) };
      this.claims.recordClaim(book.getProfile().incarnation, claim);
    }
  }
}
