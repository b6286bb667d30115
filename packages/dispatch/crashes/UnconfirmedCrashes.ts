import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { UnconfirmedCrash } from './UnconfirmedCrash';
import { crashLimits } from './crashLimits';

/** Endpoints that were silent when their leases ran out, with what their end would be charged to. */
export class UnconfirmedCrashes {
  private readonly doubts = new Map<EndpointIncarnation, readonly UnconfirmedCrash[]>();

  recordDoubt(doubt: UnconfirmedCrash): void {
    const { endpoint } = doubt.charge;
    this.doubts.set(endpoint, [...(this.doubts.get(endpoint) ?? []), doubt]);
  }

  /** Gives what was doubted of an endpoint of which more is known now, and forgets it. */
  claimAll(life: EndpointIncarnation): readonly UnconfirmedCrash[] {
    const doubts = this.doubts.get(life) ?? [];
    this.doubts.delete(life);
    return doubts;
  }

  /** True while it is worth asking at the address of an endpoint that fell silent for good. */
  isAwaited(life: EndpointIncarnation, now: number): boolean {
    return this.doubts.get(life)?.some(({ since }) => now - since < crashLimits.awaitedMs) ?? false;
  }

  /** Forgets the doubts that nothing will settle any more, and gives them. */
  claimOutdated(now: number): readonly UnconfirmedCrash[] {
    const outdated = [...this.doubts.keys()].filter((life) => !this.isAwaited(life, now));
    return outdated.flatMap((life) => this.claimAll(life));
  }
}
