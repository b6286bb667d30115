import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { ServiceName } from '../../jobs/ServiceName';
import type { EndpointState } from '../endpoints/EndpointState';

/** A task to be placed. */
interface TaskToPlace {
  readonly isInGang: boolean;
  /** Number of its failed runs. */
  readonly failureCount: number;
}

/** When more than this share of a service's endpoints fail, the work is assumed to be at fault and none is quarantined. */
const MAX_QUARANTINED_SHARE = 0.25;

/**
 * Quarantines endpoints that fail every run, as a circuit breaker does. Such an endpoint always has free capacity, so that it would
 * attract waiting tasks and use up their attempts. After a backoff it gets one run at a time as a probe, of a task without failures.
 */
export class EndpointQuarantine {
  /** Whether a service is exempt from quarantine, cached for the round. */
  private readonly exemptServices = new Map<ServiceName, boolean>();

  constructor(
    private readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>,
    /** False to quarantine none. */
    private readonly isEnabled: boolean,
  ) {}

  /** Clears the results of the last round. */
  clearCache(): void {
    this.exemptServices.clear();
  }

  /** Returns whether a task may be placed on the endpoint, by the failures of both. */
  canAcceptTask(candidate: TaskToPlace, endpoint: EndpointState, now: number): boolean {
    const streak = endpoint.getFailureStreak();
    if (!this.isEnabled || !streak.isFailing() || this.isExemptService(endpoint.getProfile().service)) {
      return true;
    }
    const canProbe = !candidate.isInGang && candidate.failureCount === 0 && now >= streak.getProbeAt();
    return canProbe && !this.hasActiveProbe(endpoint);
  }

  /** Returns whether a run that was placed after the newest failure is still active. */
  private hasActiveProbe(endpoint: EndpointState): boolean {
    const failedAt = endpoint.getFailureStreak().getLastFailedAt();
    return [...endpoint.getRuns()].some((run) => run.placedAt >= failedAt);
  }

  private isExemptService(service: ServiceName): boolean {
    const known = this.exemptServices.get(service);
    if (known !== undefined) {
      return known;
    }
    const schedulable = [...this.endpoints.values()].filter(
      (endpoint) => endpoint.isSchedulable() && endpoint.getProfile().service === service,
    );
    const failing = schedulable.filter((endpoint) => endpoint.getFailureStreak().isFailing());
    const isServiceExempt = failing.length > schedulable.length * MAX_QUARANTINED_SHARE;
    this.exemptServices.set(service, isServiceExempt);
    return isServiceExempt;
  }
}
