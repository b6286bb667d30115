/** Record to append. An empty value deletes the key. */
export interface LogWrite {
  readonly key: string;
  readonly value: string;
}
