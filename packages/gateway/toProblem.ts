import { checkNever } from '../common/checkNever';
import type { CallResponse } from './CallResponse';
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

/** Converts a response without a result to RFC 9457 problem details. */
export const toProblem = (response: Exclude<CallResponse, { outcome: 'ran' }>): Problem => {
  switch (response.outcome) {
    case 'not-run': {
      const { status, title } = notRunStatuses[response.reason];
      const type = `urn:stairline:${response.reason}`;
      return { status, body: { type, title, detail: response.detail, outcome: 'not-run' } };
    }
    case 'unknown': {
      const status = response.isLate ? 504 : 502;
      const title = 'It may have run: the end was not seen';
      return {
        status,
        body: { type: 'urn:stairline:unknown', title, detail: response.detail, outcome: 'unknown' },
      };
    }
    default:
      return checkNever(response);
  }
};
