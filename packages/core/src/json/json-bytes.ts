/** The bytes that give a JSON text its structure. */
export const quote = 0x22;
export const backslash = 0x5C;
export const comma = 0x2C;
export const colon = 0x3A;
export const openBracket = 0x5B;
export const closeBracket = 0x5D;
export const openBrace = 0x7B;
export const closeBrace = 0x7D;
