import type { CallResponse } from '../gateway/CallResponse';

/** A remembered body is at most this long, in bytes. */
const BODY_LIMIT = 65_536;

const NOT_KEPT: CallResponse = {
  outcome: 'unknown',
  detail: 'It ran; its answer was too long to be kept.',
  isLate: false,
};

/** Remembers the answers to keyed calls, oldest forgotten first, so that a caller that asks again is not run again. */
export class AnswerMemory {
  private readonly answers = new Map<string, Promise<CallResponse>>();

  constructor(private readonly capacity: number) {}

  readAnswer(key: string): Promise<CallResponse> | undefined {
    return this.answers.get(key);
  }

  recordAnswer(key: string, answer: Promise<CallResponse>): void {
    this.answers.set(key, answer);
    void answer.then((final) => {
      if (final.outcome === 'ran' && final.body.length > BODY_LIMIT) {
        this.answers.set(key, Promise.resolve(NOT_KEPT));
      }
    });
    for (const oldest of this.answers.keys()) {
      if (this.answers.size <= this.capacity) {
        return;
      }
      this.answers.delete(oldest);
    }
  }

  revokeAnswer(key: string): void {
    this.answers.delete(key);
  }
}
