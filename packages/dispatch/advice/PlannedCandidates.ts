import { demandSums } from '../../jobs/demandSums';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { AdviceHistory } from './AdviceHistory';
import type { CandidateChoice } from './CandidateChoice';
import { chooseQuestionSize } from './chooseQuestionSize';
import type { EndpointBook } from '../endpoints/EndpointBook';
import type { EndpointPreference } from '../placing/EndpointPreference';
import { ExpectedRoom } from './ExpectedRoom';
import type { Preemptor } from '../placing/Preemptor';
import type { RoomClaims } from './RoomClaims';
import type { RoomView } from '../placing/RoomView';
import type { WaitingStep } from '../waiting/WaitingStep';

interface PlannedCandidatesOptions {
  readonly room: RoomView;
  readonly preemptor: Preemptor;
  readonly history: AdviceHistory;
  readonly preference: EndpointPreference;
  readonly claims: RoomClaims;
}

/** An endpoint about which could be asked. */
interface Candidate {
  readonly book: EndpointBook;
  readonly places: number;
  readonly chance: number;
  readonly cost: number;
}

/** What a step has, and what it could ask about. */
interface Prospect {
  /** Places on endpoints whose tickets still hold when an answer comes. */
  held: number;
  /** With room now. */
  readonly roomy: Candidate[];
  /** Where room is expected only later. */
  readonly later: Candidate[];
}

/** Chance that room which is seen now is still there when the answer comes. */
const ROOM_STAYS = 0.8;
/** Chance that an endpoint without room has some for the step while its ticket holds. */
const ROOM_COMES = 0.3;
/** From the answer to a question to a start that uses it. */
const USE_ANSWER_MS = 120;
/** What a question takes beside the service's own time. */
const QUESTION_OVERHEAD_MS = 30;
/** Tasks of a step that start one by one are not kept waiting for a longer question than this many endpoints make. */
const MAX_NAMED_IN_PART = 40;
const MAX_NAMED = 100;
/** Room is not counted beyond so many tasks of a gang on one endpoint when stops have to make it. */
const MAX_PLACES_BY_STOPS = 3;

const toSum = (candidates: readonly Candidate[], read: (candidate: Candidate) => number): number =>
  candidates.reduce((sum, candidate) => sum + read(candidate), 0);

/** Asks only where the answer is expected to find room, and for as many endpoints as make a second round unlikely. */
export class PlannedCandidates implements CandidateChoice {
  private readonly expected = new ExpectedRoom();

  constructor(private readonly options: PlannedCandidatesOptions) {}

  startRound(): void {
    this.expected.startRound();
  }

  chooseNamed(
    step: WaitingStep,
    eligible: readonly EndpointBook[],
    missing: number,
    neededUntil: number,
    now: number,
  ): readonly EndpointBook[] {
    const { shape } = step;
    const prospect = this.readProspect(step, eligible, neededUntil, now);
    const needed = missing - prospect.held;
    if (needed <= 0 || !this.isWorthAsking(step, prospect, needed)) {
      return [];
    }
    const ranked = shape.isGang
      ? this.toRanked(prospect.roomy)
      : [...this.toRanked(prospect.roomy), ...this.toRanked(prospect.later)];
    const advice = step.job.definition.queue.advice!;
    const count = chooseQuestionSize(ranked, needed, {
      roundMs: advice.decisionMs + QUESTION_OVERHEAD_MS,
      perEndpointMs: advice.perEndpointMs,
      maxNamed: shape.isGang ? MAX_NAMED : MAX_NAMED_IN_PART,
    });
    return ranked.slice(0, count).map(({ book }) => book);
  }

  /** A gang needs all its places at one moment; of other steps each task may start by itself. */
  private isWorthAsking(step: WaitingStep, { roomy }: Prospect, needed: number): boolean {
    if (!step.shape.isGang) {
      return roomy.length > 0 && this.isWithinReserve(step);
    }
    return toSum(roomy, ({ places, chance }) => places * (chance / ROOM_STAYS)) >= needed;
  }

  private isWithinReserve(step: WaitingStep): boolean {
    const demand = this.options.room.toCountedDemand(step.shape);
    return step.shape.isFiller || demand.cpuMillis <= this.options.room.readReserveLeft(step);
  }

  /** Known ones first; of each kind those with most places for a gang, and those that suit other steps best. */
  private toRanked(candidates: readonly Candidate[]): readonly Candidate[] {
    return [...candidates].sort(
      (left, right) =>
        right.chance - left.chance ||
        left.cost - right.cost ||
        this.readUnderWay(left) - this.readUnderWay(right) ||
        right.places - left.places ||
        right.book.readFreeCpuMillis() - left.book.readFreeCpuMillis(),
    );
  }

  private readUnderWay({ book }: Candidate): number {
    return this.options.history.readUnderWay(book.readProfile().life);
  }

  private readProspect(
    step: WaitingStep,
    eligible: readonly EndpointBook[],
    neededUntil: number,
    now: number,
  ): Prospect {
    const { room, history, preference } = this.options;
    const { queue } = step.job.definition;
    const advice = step.job.readAdvice(step.time, step.step);
    const { decisionMs, perEndpointMs } = queue.advice!;
    const answerMs = decisionMs + perEndpointMs * MAX_NAMED_IN_PART + USE_ANSWER_MS;
    const answerAt = Math.max(neededUntil, now + answerMs);
    const share = history.readShare(queue.name);
    const canStop = room.isShortOfRoom(step, eligible);
    const readCost = preference.createCostOf(step);
    const prospect: Prospect = { held: 0, roomy: [], later: [] };
    for (const book of eligible) {
      const { life } = book.readProfile();
      if (advice.isRefused(life) || room.isCrowded(step, book)) {
        continue;
      }
      if (advice.readTicket(life, answerAt) !== undefined) {
        prospect.held += this.measurePlaces(step, book, canStop, 0, now);
        continue;
      }
      const places = this.measurePlaces(step, book, canStop, answerMs, now);
      const allowed = advice.hasBeenAllowed(life) ? 1 : share;
      const cost = readCost(book);
      if (places > 0) {
        prospect.roomy.push({ book, places, chance: allowed * ROOM_STAYS, cost });
      } else if (demandSums.isWithin(room.toCountedDemand(step.shape), book.readProfile().capacity)) {
        prospect.later.push({ book, places: 1, chance: allowed * ROOM_COMES, cost });
      }
    }
    return prospect;
  }

  /** Tasks of the step for which the endpoint has room, by what is free, what ends soon, and what stops would free. */
  private measurePlaces(
    step: WaitingStep,
    book: EndpointBook,
    canStop: boolean,
    withinMs: number,
    now: number,
  ): number {
    const { room, claims } = this.options;
    const free = claims.readUnclaimed(book, step.job.definition.queue.priority);
    const ending =
      withinMs > 0 && step.shape.isGang ? this.expected.readEnding(book, withinMs, now) : demandSums.NOTHING;
    const places = room.measureFitCount(demandSums.toSum(free, ending), step.shape);
    return canStop ? Math.max(places, this.measurePlacesByStops(step, book, now)) : places;
  }

  private measurePlacesByStops(step: WaitingStep, book: EndpointBook, now: number): number {
    const { room, preemptor } = this.options;
    const { shape } = step;
    const one = room.toCountedDemand(shape);
    const most =
      shape.maxPerEndpoint === 0 ? MAX_PLACES_BY_STOPS : Math.min(MAX_PLACES_BY_STOPS, shape.maxPerEndpoint);
    let demand: TaskDemand = one;
    let count = 0;
    while (count < most && preemptor.hasRoomWithStops(step, book, demand, now)) {
      count += 1;
      demand = demandSums.toSum(demand, one);
    }
    return count;
  }
}
