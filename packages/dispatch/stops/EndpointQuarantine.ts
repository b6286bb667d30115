import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { ServiceName } from '../../jobs/ServiceName';
import type { EndpointState } from '../endpoints/EndpointState';

/** Properties of the task to be placed on which quarantine depends. */
interface TaskToPlace {
  readonly isInGang: boolean;
  /** Number of failed runs of the task. */
  readonly failureCount: number;
}

/** When more than this share of the endpoints of a service are failing, the tasks are considered at fault and none is quarantined. */
const MAX_QUARANTINED_SHARE = 0.25;

/**
 * Quarantines endpoints on which consecutive runs failed, as a circuit breaker does. Such an endpoint always has free capacity, so it
 * would attract waiting tasks and use up their attempts. After a backoff it may run one task without failures as a probe.
 */
export class EndpointQuarantine {
  /** Results of `isExemptService`, cached until `clearCache`. */
  private readonly exemptionByService = new Map<ServiceName, boolean>();

  constructor(
    private readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>,
    /** False if the stop policy turns quarantine off, so that no endpoint is ever quarantined. */
    private readonly isEnabled: boolean,
  ) {}

  /** Clears the cached results before a new round. */
  clearCache(): void {
    this.exemptionByService.clear();
  }

  /**
   * Returns whether a task may be placed on the endpoint: either the endpoint isn't quarantined, or the task may be its probe. A task may
   * be the probe if it has no failures and isn't in a gang, the backoff has passed, and no earlier probe is active.
   */
  canAcceptTask(candidate: TaskToPlace, endpoint: EndpointState, now: number): boolean {
    const streak = endpoint.getFailureStreak();
    if (!this.isEnabled || !streak.isFailing() || this.isExemptService(endpoint.getProfile().service)) {
      return true;
    }
    const canProbe = !candidate.isInGang && candidate.failureCount === 0 && now >= streak.getProbeAt();
    return canProbe && !this.hasActiveProbe(endpoint);
  }

  /** Returns whether a run that was placed at or after the newest failure is still active on the endpoint. */
  private hasActiveProbe(endpoint: EndpointState): boolean {
    const failedAt = endpoint.getFailureStreak().getLastFailedAt();
    return [...endpoint.getRuns()].some((run) => run.placedAt >= failedAt);
  }

  /** Returns whether too many endpoints of the service are failing for any of them to be quarantined. */
  private isExemptService(service: ServiceName): boolean {
    const known = this.exemptionByService.get(service);
    if (known !== undefined) {
      return known;
    }
    const schedulable = [...this.endpoints.values()].filter(
      (endpoint) => endpoint.isSchedulable() && endpoint.getProfile().service === service,
    );
    const failing = schedulable.filter((endpoint) => endpoint.getFailureStreak().isFailing());
    const isServiceExempt = failing.length > schedulable.length * MAX_QUARANTINED_SHARE;
    this.exemptionByService.set(service, isServiceExempt);
    return isServiceExempt;
  }
}
