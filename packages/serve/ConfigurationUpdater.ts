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

interface ConfigurationUpdaterOptions {
  readonly adapter: Pick<ServeAdapter, 'configurationKey' | 'parseConfiguration'>;
  readonly router: QueueRouter;
  readonly source: ConfigurationSource;
  readonly clock: MachineClock;
  readonly random: Random;
  readonly logger: Logger;
  /** Age in milliseconds up to which a configuration counts as fresh; undefined for no limit. */
  readonly maxAgeMs: number | undefined;
  /** Returns whether the whole operator topic is known and reads of it succeed. */
  readonly isTopicUpToDate: () => boolean;
  /** Returns the monotonic time of the last successful read of the operator topic, in milliseconds. */
  readonly getLastReadAt: () => number;
  /** Returns the other announced boxes that are not lost. */
  readonly listOthers: () => readonly { readonly box: string; readonly client: BoxClient }[];
  /** Called with each version that replaces an earlier one, after the router has it. */
  readonly handleConfiguration: (configuration: QueueConfiguration) => void;
}

/**
 * Shortest time between two requests for the configuration to other boxes, one box at a time: where the log turns a third of the boxes away, four
 * requests within 1 s miss the newest version in 1 of 81 cases.
 */
const REQUEST_INTERVAL_MS = 250;
const REQUEST_TIMEOUT_MS = 200;
const MAX_LOGGED_PROBLEMS = 20;

/** Applies new versions of the configuration from the log and, if the source allows it, from other boxes while the log is unavailable. */
export class ConfigurationUpdater {
  /** Latest monotonic time, by the responses of other boxes, at which the current version was known to be the newest. */
  private confirmedAt = -Infinity;
  /** Monotonic time of the last request to another box. */
  private lastRequestAt = -Infinity;
  private isRequesting = false;

  constructor(private readonly options: ConfigurationUpdaterOptions) {}

  /** Applies the configurations that are newer than the current one among records of the operator topic; logs and skips malformed ones. */
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
        logger.error('Malformed configuration ignored.', { bytes: value.length, problems });
      }
    }
  }

  /** Returns whether the configuration is younger than the maximum age; always true without a maximum. */
  isFresh(): boolean {
    const { maxAgeMs } = this.options;
    return maxAgeMs === undefined || this.getAgeMs() < maxAgeMs;
  }

  /** Returns an upper bound of the milliseconds since the current version was confirmed to be the newest. */
  getAgeMs(): number {
    const { clock, getLastReadAt } = this.options;
    return clock.getMaxElapsedSince(Math.max(getLastReadAt(), this.confirmedAt));
  }

  /** Creates the response to a box that has the given version: the age of the configuration, and the configuration if it is newer. */
  createResponse(knownVersion: number): ConfigurationResponse {
    const configuration = this.options.router.getConfiguration();
    const isNewer = configuration !== undefined && configuration.version > knownVersion;
    return { ageMs: this.getAgeMs(), ...(isNewer ? { configuration } : {}) };
  }

  /**
   * Requests the configuration from a random other box if the source allows it, the operator topic is not up to date, no request is in
   * flight and the last one was long enough ago. Called periodically.
   */
  handleTick(): void {
    const { clock, isTopicUpToDate, source } = this.options;
    const isDue = clock.getNow() - this.lastRequestAt >= REQUEST_INTERVAL_MS;
    if (configurationSources[source].isUsingBoxes && isDue && !this.isRequesting && !isTopicUpToDate()) {
      this.lastRequestAt = clock.getNow();
      void this.requestFromRandomBox();
    }
  }

  private async requestFromRandomBox(): Promise<void> {
    const { clock, random, listOthers, router } = this.options;
    const others = listOthers();
    const other = others[Math.floor(random() * others.length)];
    if (other === undefined) {
      return;
    }
    this.isRequesting = true;
    const sentAt = clock.getNow();
    const version = router.getConfiguration()?.version ?? -1;
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
      logger.info('Configuration applied.', {
        version: configuration.version,
        source,
        ageMs: Math.round(ageMs),
        routes: configuration.routes.length,
        customers: configuration.customers.length,
      });
      this.options.handleConfiguration(configuration);
    }
  }
}
