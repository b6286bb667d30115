import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
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
  /** Number of reservations by the step that they are for; steps without one have no entry. */
  private readonly countsByStep = new Map<string, number>();
  /** Number of changes so far. */
  private version = 0;

  /** Returns a number that rises with each change of the reservations. */
  getVersion(): number {
    return this.version;
  }

  isEmpty(): boolean {
    return this.reservations.size === 0;
  }

  /** Reserves an endpoint for a step until a monotonic time. Replaces any reservation of the endpoint, also by another step. */
  setReservation(endpoint: EndpointIncarnation, step: WaitingStep, expiresAt: number): void {
    const { priority } = step.job.getQueue();
    const stepName = toStepName(step);
    this.removeReservation(endpoint);
    this.reservations.set(endpoint, { stepName, priority, expiresAt });
    this.countsByStep.set(stepName, (this.countsByStep.get(stepName) ?? 0) + 1);
    this.version += 1;
  }

  releaseStepReservations(step: WaitingStep): void {
    if (!this.hasReservationFor(step)) {
      return;
    }
    const stepName = toStepName(step);
    for (const [endpoint, reservation] of this.reservations) {
      if (reservation.stepName === stepName) {
        this.removeReservation(endpoint);
      }
    }
  }

  /** Removes the reservations for all steps of a job. */
  releaseJobReservations(job: JobId): void {
    for (const [endpoint, { stepName }] of this.reservations) {
      if (stepName.startsWith(`${job}.`)) {
        this.removeReservation(endpoint);
      }
    }
  }

  /** Returns whether at least one endpoint is reserved for the step. */
  hasReservationFor(step: WaitingStep): boolean {
    return !this.isEmpty() && this.countsByStep.has(toStepName(step));
  }

  /** Returns whether the endpoint is reserved for another step of the same or a higher priority. */
  isReservedForOtherStep(step: WaitingStep, endpoint: EndpointIncarnation): boolean {
    const reservation = this.reservations.get(endpoint);
    return (
      reservation !== undefined &&
      reservation.stepName !== toStepName(step) &&
      reservation.priority <= step.job.getQueue().priority
    );
  }

  removeExpiredReservations(now: number): void {
    for (const [endpoint, { expiresAt }] of this.reservations) {
      if (now >= expiresAt) {
        this.removeReservation(endpoint);
      }
    }
  }

  /** Removes the reservation of an endpoint, if there is one. */
  private removeReservation(endpoint: EndpointIncarnation): void {
    const reservation = this.reservations.get(endpoint);
    if (reservation === undefined) {
      return;
    }
    this.reservations.delete(endpoint);
    const { stepName } = reservation;
    const left = this.countsByStep.get(stepName)! - 1;
    if (left > 0) {
      this.countsByStep.set(stepName, left);
    } else {
      this.countsByStep.delete(stepName);
    }
    this.version += 1;
  }
}
