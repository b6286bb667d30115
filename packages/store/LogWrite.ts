/** One record to append: an empty value drops the key. */
export interface LogWrite {
  readonly key: string;
  readonly value: string;
}
