import type { LogRecord } from '../store/LogRecord';
import { definitionSchema } from './definitionSchema';
import type { JobDefinition } from './JobDefinition';
import type { JobId } from './JobId';
import { jobKeys } from './jobKeys';
import { JobProgress } from './JobProgress';
import type { JobState } from './JobState';
import { parseProgress } from './parseProgress';

interface ReplicaChange {
  readonly accepted: readonly JobDefinition[];
  readonly cancelled: readonly JobId[];
}

/** All jobs as the log shows them: accepted definitions, cancels, and the newest progress of each. */
export class JobReplica {
  private readonly definitions = new Map<JobId, JobDefinition>();
  private readonly cancelled = new Set<JobId>();
  /** Progress is parsed when it is asked for: most boxes never do. */
  private readonly progressTexts = new Map<JobId, string>();

  /** Folds records of the jobs' topic; tells what is new. Folding a record twice is harmless. */
  foldJobRecords(records: readonly LogRecord[]): ReplicaChange {
    const accepted: JobDefinition[] = [];
    const cancelled: JobId[] = [];
    for (const record of records) {
      const definitionId = jobKeys.parseDefinitionKey(record.key);
      const cancelId = jobKeys.parseCancelKey(record.key);
      if (definitionId !== undefined) {
        const definition = this.foldDefinition(definitionId, record.value);
        if (definition !== undefined) {
          accepted.push(definition);
        }
      } else if (cancelId !== undefined && this.foldCancel(cancelId, record.value)) {
        cancelled.push(cancelId);
      }
    }
    return { accepted, cancelled };
  }

  /** Folds records of the progress topic; keys of others are passed over. */
  foldProgressRecords(records: readonly LogRecord[]): void {
    for (const { key, value } of records) {
      const id = jobKeys.parseProgressKey(key);
      if (id === undefined) {
        continue;
      }
      if (value === '') {
        this.progressTexts.delete(id);
      } else {
        this.progressTexts.set(id, value);
      }
    }
  }

  /** Takes newer progress from the process itself, as it would come from the log. */
  applyProgress(id: JobId, text: string): void {
    this.progressTexts.set(id, text);
  }

  readDefinition(id: JobId): JobDefinition | undefined {
    return this.definitions.get(id);
  }

  readDefinitions(): Iterable<JobDefinition> {
    return this.definitions.values();
  }

  isCancelled(id: JobId): boolean {
    return this.cancelled.has(id);
  }

  /** The newest progress known; that of an untouched job when there is none. */
  readProgress(definition: JobDefinition): JobProgress {
    const text = this.progressTexts.get(definition.id);
    const parsed = text === undefined ? undefined : parseProgress(definition, text);
    return parsed ?? new JobProgress(definition);
  }

  /** State for callers; undefined for an unknown job. */
  readState(id: JobId): JobState | undefined {
    const definition = this.definitions.get(id);
    if (definition === undefined) {
      return undefined;
    }
    const state = this.readProgress(definition).readState();
    const isEnded = state === 'completed' || state === 'failed';
    return this.cancelled.has(id) && !isEnded ? 'cancelled' : state;
  }

  /** Jobs of a queue none of whose tasks has begun. */
  readPendingCount(queueName: string): number {
    let count = 0;
    for (const definition of this.definitions.values()) {
      const isPending = !this.progressTexts.has(definition.id) && !this.cancelled.has(definition.id);
      if (definition.queue.name === queueName && isPending) {
        count += 1;
      }
    }
    return count;
  }

  private foldDefinition(id: JobId, value: string): JobDefinition | undefined {
    if (value === '') {
      this.definitions.delete(id);
      this.cancelled.delete(id);
      return undefined;
    }
    if (this.definitions.has(id)) {
      return undefined;
    }
    const parsed = definitionSchema.safeParse(JSON.parse(value));
    if (!parsed.success) {
      return undefined;
    }
    this.definitions.set(id, parsed.data);
    return parsed.data;
  }

  private foldCancel(id: JobId, value: string): boolean {
    if (value === '' || this.cancelled.has(id)) {
      return false;
    }
    this.cancelled.add(id);
    return true;
  }
}
