import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { toStepName } from '../waiting/toStepName';
import type { WaitingStep } from '../waiting/WaitingStep';

interface Reservation {
  /** `JOB.TIME.STEP` for which room is kept. */
  readonly holder: string;
  readonly priority: number;
  /** Monotonic time at which it lapses. */
  readonly until: number;
}

/** Endpoints on which room is being made for one step: what is no more urgent keeps off until it has been used, or time is over. */
export class EndpointReservations {
  private readonly reservations = new Map<EndpointIncarnation, Reservation>();

  isEmpty(): boolean {
    return this.reservations.size === 0;
  }

  /** Keeps an endpoint for a step. */
  recordReservation(endpoint: EndpointIncarnation, step: WaitingStep, until: number): void {
    const { priority } = step.job.definition.queue;
    this.reservations.set(endpoint, { holder: toStepName(step), priority, until });
  }

  /** Gives up all that is kept for a step. */
  revokeFor(step: WaitingStep): void {
    const holder = toStepName(step);
    for (const [endpoint, reservation] of this.reservations) {
      if (reservation.holder === holder) {
        this.reservations.delete(endpoint);
      }
    }
  }

  /** True when room is being made for the step. */
  hasFor(step: WaitingStep): boolean {
    const holder = toStepName(step);
    return [...this.reservations.values()].some((reservation) => reservation.holder === holder);
  }

  /** True when the endpoint is kept for another step that is at least as urgent. */
  isKeptFrom(step: WaitingStep, endpoint: EndpointIncarnation): boolean {
    const reservation = this.reservations.get(endpoint);
    return (
      reservation !== undefined &&
      reservation.holder !== toStepName(step) &&
      reservation.priority <= step.job.definition.queue.priority
    );
  }

  /** Drops what has lapsed. */
  removeExpired(now: number): void {
    for (const [endpoint, { until }] of this.reservations) {
      if (now >= until) {
        this.reservations.delete(endpoint);
      }
    }
  }
}
