import type { BoxClient } from '../boxes/BoxClient';
import type { ConfigurationResponse } from '../boxes/ConfigurationResponse';
import type { MachineClock } from '../common/MachineClock';
import type { Logger } from '../common/Logger';
import type { Random } from '../common/Random';
import type { QueueConfiguration } from '../gateway/QueueConfiguration';
import type { QueueRouter } from '../gateway/QueueRouter';
import type { LogRecord } from '../store/LogRecord';
import type { ConfigurationSource } from './ConfigurationSource';
import { configurationSources } from './configurationSources';
import type { ServeAdapter } from './ServeAdapter';

interface ConfigurationDeskOptions {
  readonly adapter: Pick<ServeAdapter, 'configurationKey' | 'parseConfiguration'>;
  readonly router: QueueRouter;
  readonly source: ConfigurationSource;
  readonly clock: MachineClock;
  readonly random: Random;
  readonly logger: Logger;
  /** Milliseconds for which a configuration counts as fresh; undefined when any age will do. */
  readonly maxAgeMs: number | undefined;
  /** True while the log answers reads of the operator's topic. */
  readonly isFollowing: () => boolean;
  /** Monotonic time at which the log last answered such a read. */
  readonly readFollowedAt: () => number;
  readonly readOthers: () => readonly { readonly box: string; readonly client: BoxClient }[];
}

/**
 * Between questions to other boxes, one box at a time. A log that turns a third of the boxes away leaves two of three with the newest
 * version, so four questions miss them all in 1 of 81 cases: within 1 s, of the 3 s that a new version may take.
 */
const REQUEST_INTERVAL_MS = 250;
const REQUEST_TIMEOUT_MS = 200;
/** Problems of a malformed configuration that one line tells. */
const MAX_LOGGED_PROBLEMS = 20;

/** Takes versions of the configuration into force, from the log and, while that does not answer, from other boxes. */
export class ConfigurationDesk {
  /** Monotonic time at which another box last knew that the version in force here is the newest. */
  private confirmedAt = -Infinity;
  private requestedAt = -Infinity;
  private isRequesting = false;

  constructor(private readonly options: ConfigurationDeskOptions) {}

  /** Takes records of the operator's topic. */
  handleRecords(records: readonly LogRecord[]): void {
    const { adapter, logger } = this.options;
    for (const { key, value } of records) {
      if (key !== adapter.configurationKey) {
        continue;
      }
      const parsed = adapter.parseConfiguration(value);
      if (parsed.ok) {
        this.applyConfiguration(parsed.value, 'log');
      } else {
        const problems = parsed.error.slice(0, MAX_LOGGED_PROBLEMS);
        logger.error('Configuration is malformed and left out.', { bytes: value.length, problems });
      }
    }
  }

  /** Unless the settings ask for strictness, a box goes on with the last version that it has heard of. */
  isFresh(): boolean {
    const { maxAgeMs } = this.options;
    return maxAgeMs === undefined || this.getAgeMs() < maxAgeMs;
  }

  /** Milliseconds since the version in force here was known to be the newest, at most. */
  getAgeMs(): number {
    const { clock, readFollowedAt } = this.options;
    return clock.readLongestSince(Math.max(readFollowedAt(), this.confirmedAt));
  }

  /** What this box tells another that has a version. */
  createResponse(knownVersion: number): ConfigurationResponse {
    const configuration = this.options.router.readConfiguration();
    const isNewer = configuration !== undefined && configuration.version > knownVersion;
    return { ageMs: this.getAgeMs(), ...(isNewer ? { configuration } : {}) };
  }

  /** Asks another box when the log does not answer. */
  handleTick(): void {
    const { clock, isFollowing, source } = this.options;
    const isDue = clock.readNow() - this.requestedAt >= REQUEST_INTERVAL_MS;
    if (configurationSources[source].isUsingBoxes && isDue && !this.isRequesting && !isFollowing()) {
      this.requestedAt = clock.readNow();
      void this.requestFromBox();
    }
  }

  private async requestFromBox(): Promise<void> {
    const { clock, random, readOthers, router } = this.options;
    const others = readOthers();
    const other = others[Math.floor(random() * others.length)];
    if (other === undefined) {
      return;
    }
    this.isRequesting = true;
    const sentAt = clock.readNow();
    const version = router.readConfiguration()?.version ?? -1;
    const response = await other.client.requestConfiguration(version, REQUEST_TIMEOUT_MS);
    this.isRequesting = false;
    if (response === undefined) {
      return;
    }
    if (response.configuration !== undefined) {
      this.applyConfiguration(response.configuration, other.box, response.ageMs);
    }
    this.confirmedAt = Math.max(this.confirmedAt, sentAt - response.ageMs);
  }

  private applyConfiguration(configuration: QueueConfiguration, source: string, ageMs = 0): void {
    const { logger, router } = this.options;
    if (router.applyConfiguration(configuration)) {
      logger.info('Configuration in force.', {
        version: configuration.version,
        source,
        ageMs: Math.round(ageMs),
        routes: configuration.routes.length,
        customers: configuration.customers.length,
      });
    }
  }
}
