/** Addresses of servers: an IP address and a port that can be connected to. */

const addressPattern = /^(?:(?<ipv4>\d{1,3}(?:\.\d{1,3}){3})|\[[\da-f:]+\]):(?<port>\d{1,5})$/v;
const maxOctet = 255;
const maxPort = 65_535;

/**
 * Whether a text is `IP:port` with numbers that an address can have; IPv6 addresses stand in brackets.
 *
 * @example
 * isServerAddress('10.0.0.9:8080'); // true
 * isServerAddress('10.0.0.9:99999'); // false
 */
export const isServerAddress = (text: string): boolean => {
	const {ipv4, port} = addressPattern.exec(text)?.groups ?? {};
	const isPort = port !== undefined && Number(port) > 0 && Number(port) <= maxPort;
	return isPort && (ipv4 === undefined || ipv4.split('.').every(octet => Number(octet) <= maxOctet));
};
