import type { LogRecord } from '../store/LogRecord';
import type { LogWrite } from '../store/LogWrite';
import type { JobDefinition } from './JobDefinition';
import type { JobId } from './JobId';
import { jobKeys } from './jobKeys';
import { jobStates } from './jobStates';
import type { JobState } from './JobState';
import { parseDefinition } from './parseDefinition';

interface ReplicaChange {
  readonly accepted: readonly JobDefinition[];
  readonly cancelled: readonly JobId[];
  /** Jobs whose records cannot be read: another writer's, since each box checks what it accepts. They are passed over. */
  readonly invalid: readonly JobId[];
}

/** All jobs as the log shows them: accepted definitions, cancels, and the newest state of each. */
export class JobReplica {
  private readonly definitions = new Map<JobId, JobDefinition>();
  private readonly cancelled = new Set<JobId>();
  /** States that leaders have written; a job without one is queued. */
  private readonly states = new Map<JobId, JobState>();

  /** Folds records of the jobs' topic; tells what is new. Folding a record twice is harmless. */
  foldJobRecords(records: readonly LogWrite[]): ReplicaChange {
    const accepted: JobDefinition[] = [];
    const cancelled: JobId[] = [];
    const refused: JobId[] = [];
    for (const record of records) {
      const definitionId = jobKeys.parseDefinitionKey(record.key);
      const cancelId = jobKeys.parseCancelKey(record.key);
      if (definitionId !== undefined) {
        const definition = this.foldDefinition(definitionId, record.value);
        if (definition === 'unreadable') {
          refused.push(definitionId);
        } else if (definition !== undefined) {
          accepted.push(definition);
        }
      } else if (cancelId !== undefined && this.foldCancel(cancelId, record.value)) {
        cancelled.push(cancelId);
      }
    }
    return { accepted, cancelled, invalid: refused };
  }

  /** Takes in a job that is durable. Returns false when it was known. */
  recordDefinition(definition: JobDefinition): boolean {
    if (this.definitions.has(definition.id)) {
      return false;
    }
    this.definitions.set(definition.id, definition);
    return true;
  }

  /** Takes in a cancel that is durable. Returns false when it was known. */
  recordCancel(id: JobId): boolean {
    if (this.cancelled.has(id)) {
      return false;
    }
    this.cancelled.add(id);
    return true;
  }

  /** Folds records of the states' topic; keys of others are passed over. */
  foldStateRecords(records: readonly LogRecord[]): void {
    for (const { key, value } of records) {
      const id = jobKeys.parseStateKey(key);
      const state = jobStates.parseState(value);
      if (id === undefined) {
        continue;
      }
      if (state === undefined) {
        this.states.delete(id);
      } else {
        this.states.set(id, state);
      }
    }
  }

  /** Takes a newer state from the process itself, as it would come from the log. */
  setState(id: JobId, state: JobState): void {
    this.states.set(id, state);
  }

  /** The state that leaders have written. */
  getWrittenState(id: JobId): JobState {
    return this.states.get(id) ?? 'queued';
  }

  getDefinition(id: JobId): JobDefinition | undefined {
    return this.definitions.get(id);
  }

  countJobs(): number {
    return this.definitions.size;
  }

  /** All jobs in the order of acceptance, the same in every process that has read them. */
  listDefinitionsInOrder(): readonly JobDefinition[] {
    return [...this.definitions.values()].sort(
      (left, right) => left.acceptedAtMs - right.acceptedAtMs || (left.id < right.id ? -1 : 1),
    );
  }

  isCancelled(id: JobId): boolean {
    return this.cancelled.has(id);
  }

  /** State for callers; undefined for an unknown job. */
  getState(id: JobId): JobState | undefined {
    if (!this.definitions.has(id)) {
      return undefined;
    }
    const state = this.getWrittenState(id);
    const isEnded = state === 'completed' || state === 'failed';
    return this.cancelled.has(id) && !isEnded ? 'cancelled' : state;
  }

  /** Jobs of a queue none of whose tasks has begun. */
  countPending(queueName: string): number {
    let count = 0;
    for (const definition of this.definitions.values()) {
      const isPending = !this.states.has(definition.id) && !this.cancelled.has(definition.id);
      if (definition.queue.name === queueName && isPending) {
        count += 1;
      }
    }
    return count;
  }

  private foldDefinition(id: JobId, value: string): JobDefinition | 'unreadable' | undefined {
    if (value === '') {
      this.definitions.delete(id);
      this.cancelled.delete(id);
      return undefined;
    }
    if (this.definitions.has(id)) {
      return undefined;
    }
    const definition = parseDefinition(id, value);
    if (definition === undefined) {
      return 'unreadable';
    }
    return this.recordDefinition(definition) ? definition : undefined;
  }

  private foldCancel(id: JobId, value: string): boolean {
    return value !== '' && this.recordCancel(id);
  }
}
