/** Why an edit cannot become policy. */
export type TableError =
  | { readonly kind: 'unknownCell'; readonly cell: string; readonly expected: string }
  | { readonly kind: 'badValue'; readonly cell: string; readonly expected: string }
  | { readonly kind: 'rule'; readonly rule: string; readonly expected: string }
  | {
      readonly kind: 'overtaken';
      readonly byEditId: string;
      readonly byOperator: string;
      readonly atOffset: number;
    };
