/** How long a ticket holds, in milliseconds: as the cell's configuration says. */
const VALIDITY_MS = 2500;

/** Tickets of the advice stand-in, which say themselves until when they hold. */
export const ticketTexts = {
  format: (step: string, endpoint: string): string =>
    `${step} ${endpoint} ${Math.round(performance.now()) + VALIDITY_MS}`,
  hasExpired: (ticket: string): boolean => Number(ticket.split(' ').at(-1)) <= performance.now(),
} as const;
