import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { UnconfirmedCrash } from './UnconfirmedCrash';
import { crashLimits } from './crashLimits';

/** Endpoints that were silent when their leases ran out, with what their end would be charged to. */
export class UnconfirmedCrashes {
  private readonly crashes = new Map<EndpointIncarnation, readonly UnconfirmedCrash[]>();

  addCrash(doubt: UnconfirmedCrash): void {
    const { endpoint } = doubt.crash;
    this.crashes.set(endpoint, [...(this.crashes.get(endpoint) ?? []), doubt]);
  }

  /** Gives what was doubted of an endpoint of which more is known now, and forgets it. */
  takeAll(life: EndpointIncarnation): readonly UnconfirmedCrash[] {
    const doubts = this.crashes.get(life) ?? [];
    this.crashes.delete(life);
    return doubts;
  }

  /** True while it is worth asking at the address of an endpoint that fell silent for good. */
  isCrashUnconfirmed(life: EndpointIncarnation, now: number): boolean {
    return this.crashes.get(life)?.some(({ since }) => now - since < crashLimits.confirmationMs) ?? false;
  }

  /** Forgets the doubts that nothing will settle any more, and gives them. */
  takeOutdated(now: number): readonly UnconfirmedCrash[] {
    const outdated = [...this.crashes.keys()].filter((life) => !this.isCrashUnconfirmed(life, now));
    return outdated.flatMap((life) => this.takeAll(life));
  }
}
