import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { toStepName } from '../waiting/toStepName';
import type { WaitingStep } from '../waiting/WaitingStep';

interface Reservation {
  /** `JOB.REPETITION.STEP` of the step that the endpoint is reserved for. */
  readonly stepName: string;
  readonly priority: number;
  /** Monotonic time at which it expires. */
  readonly expiresAt: number;
}

/** Endpoints reserved for a step that preempts runs there. Work of the same or a lower priority isn't placed on them meanwhile. */
export class EndpointReservations {
  private readonly reservations = new Map<EndpointIncarnation, Reservation>();

  isEmpty(): boolean {
    return this.reservations.size === 0;
  }

  /** Reserves an endpoint for a step. Replaces an earlier reservation. */
  setReservation(endpoint: EndpointIncarnation, step: WaitingStep, expiresAt: number): void {
    const { priority } = step.job.definition.queue;
    this.reservations.set(endpoint, { stepName: toStepName(step), priority, expiresAt });
  }

  /** Releases all reservations of a step. */
  releaseReservations(step: WaitingStep): void {
    const holder = toStepName(step);
    for (const [endpoint, reservation] of this.reservations) {
      if (reservation.stepName === holder) {
        this.reservations.delete(endpoint);
      }
    }
  }

  /** Returns whether any endpoint is reserved for the step. */
  hasReservation(step: WaitingStep): boolean {
    const holder = toStepName(step);
    return [...this.reservations.values()].some((reservation) => reservation.stepName === holder);
  }

  /** Returns whether the endpoint is reserved for another step of the same or a higher priority. */
  isReservedForOtherStep(step: WaitingStep, endpoint: EndpointIncarnation): boolean {
    const reservation = this.reservations.get(endpoint);
    return (
      reservation !== undefined &&
      reservation.stepName !== toStepName(step) &&
      reservation.priority <= step.job.definition.queue.priority
    );
  }

  /** Removes expired reservations. */
  removeExpiredReservations(now: number): void {
    for (const [endpoint, { expiresAt }] of this.reservations) {
      if (now >= expiresAt) {
        this.reservations.delete(endpoint);
      }
    }
  }
}
