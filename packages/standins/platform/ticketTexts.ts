/** Validity of a ticket; must match `validity-ms` in the configuration of the test cell. */
const TICKET_VALIDITY_MS = 2500;

/** Formats the tickets of the advice stand-in, and checks the monotonic time of expiry that each contains. */
export const ticketTexts = {
  format: (step: string, endpoint: string): string =>
    `${step} ${endpoint} ${Math.round(performance.now()) + TICKET_VALIDITY_MS}`,
  hasExpired: (ticket: string): boolean => Number(ticket.split(' ').at(-1)) <= performance.now(),
} as const;
