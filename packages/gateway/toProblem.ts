import { checkNever } from '../common/checkNever';
import type { CallAnswer } from './CallAnswer';
import { notRunStatuses } from './notRunStatuses';

interface Problem {
  readonly status: number;
  readonly body: {
    readonly type: string;
    readonly title: string;
    readonly detail: string;
    readonly outcome: string;
  };
}

/** Turns an answer without a result into an RFC 9457 problem. */
export const toProblem = (answer: Exclude<CallAnswer, { outcome: 'ran' }>): Problem => {
  switch (answer.outcome) {
    case 'not-run': {
      const { status, title } = notRunStatuses[answer.reason];
      const type = `urn:stairline:${answer.reason}`;
      return { status, body: { type, title, detail: answer.detail, outcome: 'not-run' } };
    }
    case 'unknown': {
      const status = answer.isLate ? 504 : 502;
      const title = 'It may have run: the end was not seen';
      return {
        status,
        body: { type: 'urn:stairline:unknown', title, detail: answer.detail, outcome: 'unknown' },
      };
    }
    default:
      return checkNever(answer);
  }
};
