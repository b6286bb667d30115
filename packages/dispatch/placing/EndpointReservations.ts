import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { toStepName } from '../waiting/toStepName';
import type { WaitingStep } from '../waiting/WaitingStep';

interface Reservation {
  /** `JOB.REPETITION.STEP` of the step that the endpoint is reserved for. */
  readonly stepName: string;
  /** Priority of the queue of that step. */
  readonly priority: number;
  /** Monotonic time from which `removeExpiredReservations` removes it. */
  readonly expiresAt: number;
}

/**
 * Endpoints that are reserved for a step while it preempts runs there. Other steps of the same or a lower priority aren't placed on them
 * until the reservation is released or has expired.
 */
export class EndpointReservations {
  private readonly reservations = new Map<EndpointIncarnation, Reservation>();

  isEmpty(): boolean {
    return this.reservations.size === 0;
  }

  /** Reserves an endpoint for a step until a monotonic time. Replaces any reservation of the endpoint, also by another step. */
  setReservation(endpoint: EndpointIncarnation, step: WaitingStep, expiresAt: number): void {
    const { priority } = step.job.definition.queue;
    this.reservations.set(endpoint, { stepName: toStepName(step), priority, expiresAt });
  }

  releaseStepReservations(step: WaitingStep): void {
    const stepName = toStepName(step);
    for (const [endpoint, reservation] of this.reservations) {
      if (reservation.stepName === stepName) {
        this.reservations.delete(endpoint);
      }
    }
  }

  /** Returns whether at least one endpoint is reserved for the step. */
  hasReservationFor(step: WaitingStep): boolean {
    const stepName = toStepName(step);
    return [...this.reservations.values()].some((reservation) => reservation.stepName === stepName);
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

  removeExpiredReservations(now: number): void {
    for (const [endpoint, { expiresAt }] of this.reservations) {
      if (now >= expiresAt) {
        this.reservations.delete(endpoint);
      }
    }
  }
}
