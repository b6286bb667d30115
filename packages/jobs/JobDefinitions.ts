import type { JobDefinition } from './JobDefinition';
import type { JobId } from './JobId';
import { parseDefinition } from './parseDefinition';

/** Definitions of jobs by id. One that was added as the text of its record is parsed when it is first looked at. */
export class JobDefinitions {
  private readonly parsed = new Map<JobId, JobDefinition>();
  private readonly texts = new Map<JobId, string>();

  /** Calls `handleInvalid` with the id of a text that turns out to be malformed; it counts as not added. */
  constructor(private readonly handleInvalid: (id: JobId) => void) {}

  getDefinition(id: JobId): JobDefinition | undefined {
    return this.parsed.get(id) ?? this.parseText(id);
  }

  /** Returns whether a definition of the job was added as this text and has not been parsed yet. */
  hasText(id: JobId, text: string): boolean {
    return this.texts.get(id) === text;
  }

  addDefinition(definition: JobDefinition): void {
    this.texts.delete(definition.id);
    this.parsed.set(definition.id, definition);
  }

  addText(id: JobId, text: string): void {
    this.texts.set(id, text);
  }

  removeDefinition(id: JobId): void {
    this.parsed.delete(id);
    this.texts.delete(id);
  }

  /** Returns the number of definitions, with texts that are not parsed and may be malformed. */
  countDefinitions(): number {
    return this.parsed.size + this.texts.size;
  }

  /** Returns the definitions of the jobs whose id is selected. Parses no others. */
  listDefinitions(isSelected: (id: JobId) => boolean): readonly JobDefinition[] {
    return [...this.parsed.keys(), ...this.texts.keys()]
      .filter(isSelected)
      .flatMap((id) => this.getDefinition(id) ?? []);
  }

  private parseText(id: JobId): JobDefinition | undefined {
    const text = this.texts.get(id);
    if (text === undefined) {
      return undefined;
    }
    this.texts.delete(id);
    const definition = parseDefinition(id, text);
    if (definition === undefined) {
      this.handleInvalid(id);
    } else {
      this.parsed.set(id, definition);
    }
    return definition;
  }
}
