import type { BoxClient } from '../boxes/BoxClient';
import type { ConfigurationAnswer } from '../boxes/ConfigurationAnswer';
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
const ASK_EVERY_MS = 250;
const ASK_TIMEOUT_MS = 200;
/** Problems of a malformed configuration that one line tells. */
const MAX_TOLD_PROBLEMS = 20;

/** Takes versions of the configuration into force, from the log and, while that does not answer, from other boxes. */
export class ConfigurationDesk {
  /** Monotonic time at which another box last knew that the version in force here is the newest. */
  private confirmedAt = -Infinity;
  private askedAt = -Infinity;
  private isAsking = false;

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
        const problems = parsed.error.slice(0, MAX_TOLD_PROBLEMS);
        logger.error('Configuration is malformed and left out.', { bytes: value.length, problems });
      }
    }
  }

  /** Unless the settings ask for strictness, a box goes on with the last version that it has heard of. */
  isFresh(): boolean {
    const { maxAgeMs } = this.options;
    return maxAgeMs === undefined || this.readAgeMs() < maxAgeMs;
  }

  /** Milliseconds since the version in force here was known to be the newest, at most. */
  readAgeMs(): number {
    const { clock, readFollowedAt } = this.options;
    return clock.getMaxElapsedSince(Math.max(readFollowedAt(), this.confirmedAt));
  }

  /** What this box tells another that has a version. */
  readAnswer(knownVersion: number): ConfigurationAnswer {
    const configuration = this.options.router.getConfiguration();
    const isNewer = configuration !== undefined && configuration.version > knownVersion;
    return { ageMs: this.readAgeMs(), ...(isNewer ? { configuration } : {}) };
  }

  /** Asks another box when the log does not answer. */
  applyTime(): void {
    const { clock, isFollowing, source } = this.options;
    const isDue = clock.getNow() - this.askedAt >= ASK_EVERY_MS;
    if (configurationSources[source].asksBoxes && isDue && !this.isAsking && !isFollowing()) {
      this.askedAt = clock.getNow();
      void this.startAsking();
    }
  }

  private async startAsking(): Promise<void> {
    const { clock, random, readOthers, router } = this.options;
    const others = readOthers();
    const other = others[Math.floor(random() * others.length)];
    if (other === undefined) {
      return;
    }
    this.isAsking = true;
    const sentAt = clock.getNow();
    const version = router.getConfiguration()?.version ?? -1;
    const answer = await other.client.sendConfigurationQuestion(version, ASK_TIMEOUT_MS);
    this.isAsking = false;
    if (answer === undefined) {
      return;
    }
    if (answer.configuration !== undefined) {
      this.applyConfiguration(answer.configuration, other.box, answer.ageMs);
    }
    this.confirmedAt = Math.max(this.confirmedAt, sentAt - answer.ageMs);
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
