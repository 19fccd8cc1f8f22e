/*
 * Unit tests of http/answer_parser. Two tables hold valid and malformed answers; the tests read
 * each of them at every split, cut off at every byte, with other bytes behind it and with every
 * byte replaced.
 */
#include "fixture.h"

#include <time.h>

#include "answer_reading.h"

#define BYTES(text) .bytes = (text), .length = sizeof (text) - 1

typedef struct
{
  const char *name;
  bool head_request;
  const char *bytes;
  size_t length;
  uint16_t status;
  GsAnswerFraming framing;
  int64_t stated_length;
  bool keeps_connection;
  const char *headers; /* "name=value;" each */
  const char *body;
} ValidAnswer;

static const ValidAnswer valid_answers[] = {
  { "length", BYTES ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"), .status = 200,
    .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 5, .keeps_connection = true,
    .headers = "Content-Length=5;", .body = "hello" },
  { "body with line ends and the start of another answer",
    BYTES ("HTTP/1.1 500 No\r\ncontent-length:22\r\n\r\n\r\n\r\nHTTP/1.1 200 OK\r\n\r"),
    .status = 500, .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 22,
    .keeps_connection = true, .headers = "content-length=22;",
    .body = "\r\n\r\nHTTP/1.1 200 OK\r\n\r" },
  { "length 0", BYTES ("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"), .status = 404,
    .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 0, .keeps_connection = true,
    .headers = "Content-Length=0;", .body = "" },
  { "length with leading zeros",
    BYTES ("HTTP/1.1 200 OK\r\nContent-Length: 000000000000000003\r\n\r\nabc"), .status = 200,
    .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 3, .keeps_connection = true,
    .headers = "Content-Length=000000000000000003;", .body = "abc" },
  { "no reason phrase and no space", BYTES ("HTTP/1.1 200\r\nContent-Length: 1\r\n\r\nx"),
    .status = 200, .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 1,
    .keeps_connection = true, .headers = "Content-Length=1;", .body = "x" },
  { "empty reason phrase", BYTES ("HTTP/1.1 200 \r\nContent-Length: 1\r\n\r\nx"), .status = 200,
    .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 1, .keeps_connection = true,
    .headers = "Content-Length=1;", .body = "x" },
  { "mixed case, blanks around values, empty and repeated headers",
    BYTES ("HTTP/1.1 599 \t\xe9~\r\ncOnTeNt-LeNgTh:\t 2 \t\r\nE:\r\nE: \t \r\nV: a b\t:c\xff "
           "\r\n\r\nok"),
    .status = 599, .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 2,
    .keeps_connection = true, .headers = "cOnTeNt-LeNgTh=2;E=;E=;V=a b\t:c\xff;", .body = "ok" },
  { "length, closing",
    BYTES ("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"), .status = 200,
    .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 2,
    .headers = "Connection=close;Content-Length=2;", .body = "ok" },
  { "close among other tokens",
    BYTES ("HTTP/1.1 200 OK\r\nConnection: a,\t,CLOSE ,b\r\nContent-Length: 2\r\n\r\nok"),
    .status = 200, .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 2,
    .headers = "Connection=a,\t,CLOSE ,b;Content-Length=2;", .body = "ok" },
  { "close in the second Connection header",
    BYTES ("HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nconnection: Close\r\nContent-Length: "
           "2\r\n\r\nok"),
    .status = 200, .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 2,
    .headers = "Connection=keep-alive;connection=Close;Content-Length=2;", .body = "ok" },
  { "tokens that contain close",
    BYTES ("HTTP/1.1 200 OK\r\nConnection: closed, x-close\r\nContent-Length: 2\r\n\r\nok"),
    .status = 200, .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 2,
    .keeps_connection = true, .headers = "Connection=closed, x-close;Content-Length=2;",
    .body = "ok" },
  { "HTTP/1.0", BYTES ("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"), .status = 200,
    .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 2, .headers = "Content-Length=2;",
    .body = "ok" },
  { "HTTP/1.0 with keep-alive",
    BYTES ("HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\nContent-Length: 2\r\n\r\nok"),
    .status = 200, .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 2,
    .keeps_connection = true, .headers = "Connection=Keep-Alive;Content-Length=2;", .body = "ok" },
  { "HTTP/1.0 with keep-alive among other tokens",
    BYTES ("HTTP/1.0 200 OK\r\nConnection: a, keep-alive, b\r\nConnection: c\r\nContent-Length: "
           "2\r\n\r\nok"),
    .status = 200, .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 2,
    .keeps_connection = true,
    .headers = "Connection=a, keep-alive, b;Connection=c;Content-Length=2;", .body = "ok" },
  { "HTTP/1.0 with keep-alive and close",
    BYTES ("HTTP/1.0 200 OK\r\nConnection: keep-alive, close\r\nContent-Length: 2\r\n\r\nok"),
    .status = 200, .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 2,
    .headers = "Connection=keep-alive, close;Content-Length=2;", .body = "ok" },
  { "chunked",
    BYTES (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n"),
    .status = 200, .framing = GS_ANSWER_FRAMING_CHUNKED, .stated_length = -1,
    .keeps_connection = true, .headers = "Transfer-Encoding=chunked;", .body = "hello!" },
  { "chunked, mixed case, closing",
    BYTES ("HTTP/1.1 200 OK\r\ntransfer-encoding:CHunked \r\nConnection: close\r\n\r\n"
           "00a\r\n0\r\n\r\n12345\r\nF\r\n\r\nfedcba9876543\r\n000000000000000\r\n\r\n"),
    .status = 200, .framing = GS_ANSWER_FRAMING_CHUNKED, .stated_length = -1,
    .headers = "transfer-encoding=CHunked;Connection=close;",
    .body = "0\r\n\r\n12345\r\nfedcba9876543" },
  { "chunked without data",
    BYTES ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), .status = 200,
    .framing = GS_ANSWER_FRAMING_CHUNKED, .stated_length = -1, .keeps_connection = true,
    .headers = "Transfer-Encoding=chunked;", .body = "" },
  { "chunked with extensions",
    BYTES ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=\"b;\xff\"\r\nok\r\n"
           "3 \t;\r\n\r\n0\r\n0;\tz\r\n\r\n"),
    .status = 200, .framing = GS_ANSWER_FRAMING_CHUNKED, .stated_length = -1,
    .keeps_connection = true, .headers = "Transfer-Encoding=chunked;", .body = "ok\r\n0" },
  { "chunked with trailers",
    BYTES ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
           "Connection: close\r\nContent-Length: 9\r\nX:\r\n\r\n"),
    .status = 200, .framing = GS_ANSWER_FRAMING_CHUNKED, .stated_length = -1,
    .keeps_connection = true, .headers = "Transfer-Encoding=chunked;", .body = "ok" },
  { "by close", BYTES ("HTTP/1.1 200 OK\r\nA: b\r\n\r\nuntil the end\r\n"), .status = 200,
    .framing = GS_ANSWER_FRAMING_CLOSE, .stated_length = -1, .headers = "A=b;",
    .body = "until the end\r\n" },
  { "by close without headers and body", BYTES ("HTTP/1.0 200 OK\r\n\r\n"), .status = 200,
    .framing = GS_ANSWER_FRAMING_CLOSE, .stated_length = -1, .headers = "", .body = "" },
  { "by close with keep-alive", BYTES ("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nx"),
    .status = 200, .framing = GS_ANSWER_FRAMING_CLOSE, .stated_length = -1,
    .headers = "Connection=keep-alive;", .body = "x" },
  { "204", BYTES ("HTTP/1.1 204 No Content\r\nA: b\r\n\r\n"), .status = 204,
    .framing = GS_ANSWER_FRAMING_NO_BODY, .stated_length = -1, .keeps_connection = true,
    .headers = "A=b;", .body = "" },
  { "204 with length 0", BYTES ("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"),
    .status = 204, .framing = GS_ANSWER_FRAMING_NO_BODY, .stated_length = 0,
    .keeps_connection = true, .headers = "Content-Length=0;", .body = "" },
  { "304", BYTES ("HTTP/1.1 304 Not Modified\r\n\r\n"), .status = 304,
    .framing = GS_ANSWER_FRAMING_NO_BODY, .stated_length = -1, .keeps_connection = true,
    .headers = "", .body = "" },
  { "304 with length, closing",
    BYTES ("HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\nConnection: close\r\n\r\n"),
    .status = 304, .framing = GS_ANSWER_FRAMING_NO_BODY, .stated_length = 7,
    .headers = "Content-Length=7;Connection=close;", .body = "" },
  { "304 chunked", BYTES ("HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n"),
    .status = 304, .framing = GS_ANSWER_FRAMING_NO_BODY, .stated_length = -1,
    .keeps_connection = true, .headers = "Transfer-Encoding=chunked;", .body = "" },
  { "HEAD", true, BYTES ("HTTP/1.1 200 OK\r\n\r\n"), .status = 200,
    .framing = GS_ANSWER_FRAMING_NO_BODY, .stated_length = -1, .keeps_connection = true,
    .headers = "", .body = "" },
  { "HEAD with length", true,
    BYTES ("HTTP/1.1 200 OK\r\nContent-Length: 999999999999999999\r\n\r\n"), .status = 200,
    .framing = GS_ANSWER_FRAMING_NO_BODY, .stated_length = 999999999999999999,
    .keeps_connection = true, .headers = "Content-Length=999999999999999999;", .body = "" },
  { "HEAD chunked", true, BYTES ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
    .status = 200, .framing = GS_ANSWER_FRAMING_NO_BODY, .stated_length = -1,
    .keeps_connection = true, .headers = "Transfer-Encoding=chunked;", .body = "" },
  { "HEAD, HTTP/1.0", true, BYTES ("HTTP/1.0 200 OK\r\n\r\n"), .status = 200,
    .framing = GS_ANSWER_FRAMING_NO_BODY, .stated_length = -1, .headers = "", .body = "" },
  { "1xx first",
    BYTES ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103\r\nConnection: close\r\nContent-Length: "
           "0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
    .status = 200, .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 2,
    .keeps_connection = true, .headers = "Content-Length=2;", .body = "ok" },
  { "1xx with keep-alive first, HTTP/1.0",
    BYTES ("HTTP/1.1 100\r\nConnection: keep-alive\r\n\r\nHTTP/1.0 200\r\nContent-Length: "
           "2\r\n\r\nok"),
    .status = 200, .framing = GS_ANSWER_FRAMING_LENGTH, .stated_length = 2,
    .headers = "Content-Length=2;", .body = "ok" },
  { "1xx first, by close", BYTES ("HTTP/1.1 199 \r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\nx"),
    .status = 200, .framing = GS_ANSWER_FRAMING_CLOSE, .stated_length = -1, .headers = "",
    .body = "x" },
  { "1xx first, HEAD", true,
    BYTES ("HTTP/1.1 100 \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"), .status = 200,
    .framing = GS_ANSWER_FRAMING_NO_BODY, .stated_length = 5, .keeps_connection = true,
    .headers = "Content-Length=5;", .body = "" },
  { "eight 1xx first",
    BYTES ("HTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\n"
           "HTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\n"
           "HTTP/1.1 204\r\n\r\n"),
    .status = 204, .framing = GS_ANSWER_FRAMING_NO_BODY, .stated_length = -1,
    .keeps_connection = true, .headers = "", .body = "" },
};

typedef struct
{
  const char *reason;
  bool head_request;
  const char *bytes;
  size_t length;
} MalformedAnswer;

#define HEAD(headers) BYTES ("HTTP/1.1 200 OK\r\n" headers "\r\n\r\nhello")
#define CHUNKS(chunks) BYTES ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" chunks)
#define STATUS_LINE(line) BYTES (line "\r\nContent-Length: 0\r\n\r\n")

static const MalformedAnswer malformed_answers[] = {
  { "repeated-length", HEAD ("Content-Length: 5\r\nContent-Length: 5") },
  { "repeated-length", HEAD ("Content-Length: 5\r\nContent-Length: 6") },
  { "repeated-length", HEAD ("Content-Length: 0\r\nA: b\r\ncontent-length: 0") },
  { "repeated-length", true, HEAD ("Content-Length: 5\r\nContent-Length: 5") },
  { "repeated-length", BYTES ("HTTP/1.1 304 -\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n") },
  { "bad-length", HEAD ("Content-Length: 5x") },
  { "bad-length", HEAD ("Content-Length: x5") },
  { "bad-length", HEAD ("Content-Length: 0x5") },
  { "bad-length", HEAD ("Content-Length: +5") },
  { "bad-length", HEAD ("Content-Length: -5") },
  { "bad-length", HEAD ("Content-Length: 5.0") },
  { "bad-length", HEAD ("Content-Length: 5 5") },
  { "bad-length", HEAD ("Content-Length: 5,") },
  { "bad-length", HEAD ("Content-Length: 5, 5") },
  { "bad-length", HEAD ("Content-Length: 5,5") },
  { "bad-length", HEAD ("Content-Length: \"5\"") },
  { "bad-length", HEAD ("Content-Length:") },
  { "bad-length", HEAD ("Content-Length: \t") },
  { "bad-length", HEAD ("Content-Length: 0000000000000000005") },
  { "bad-length", HEAD ("Content-Length: 9223372036854775808") },
  { "bad-length", HEAD ("Content-Length: 18446744073709551621") },
  { "bad-length", true, HEAD ("Content-Length: x") },
  { "bad-length", BYTES ("HTTP/1.1 304 -\r\nContent-Length: x\r\n\r\n") },
  { "bad-length", BYTES ("HTTP/1.1 204 -\r\nContent-Length: x\r\n\r\n") },
  { "bad-length", BYTES ("HTTP/1.1 100 -\r\nContent-Length: x\r\n\r\nHTTP/1.1 204\r\n\r\n") },
  { "length-and-transfer-coding", HEAD ("Content-Length: 5\r\nTransfer-Encoding: chunked") },
  { "length-and-transfer-coding", HEAD ("Transfer-Encoding: chunked\r\nContent-Length: 5") },
  { "length-and-transfer-coding", HEAD ("Transfer-Encoding: chunked\r\nContent-Length: 0") },
  { "length-and-transfer-coding", true, HEAD ("Transfer-Encoding: chunked\r\nContent-Length: 5") },
  { "bad-transfer-coding", HEAD ("Transfer-Encoding: gzip") },
  { "bad-transfer-coding", HEAD ("Transfer-Encoding: identity") },
  { "bad-transfer-coding", HEAD ("Transfer-Encoding:") },
  { "bad-transfer-coding", HEAD ("Transfer-Encoding: gzip, chunked") },
  { "bad-transfer-coding", HEAD ("Transfer-Encoding: chunked, gzip") },
  { "bad-transfer-coding", HEAD ("Transfer-Encoding: chunked, chunked") },
  { "bad-transfer-coding", HEAD ("Transfer-Encoding: chunked,") },
  { "bad-transfer-coding", HEAD ("Transfer-Encoding: chunked;q=1") },
  { "bad-transfer-coding", HEAD ("Transfer-Encoding: \"chunked\"") },
  { "bad-transfer-coding", HEAD ("Transfer-Encoding: xchunked") },
  { "bad-transfer-coding", HEAD ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked") },
  { "bad-transfer-coding", HEAD ("Transfer-Encoding: chunked\r\ntransfer-encoding: gzip") },
  { "bad-transfer-coding", HEAD ("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked") },
  { "bad-transfer-coding", true, HEAD ("Transfer-Encoding: gzip") },
  { "bad-transfer-coding",
    BYTES ("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") },
  { "bad-chunk-size", CHUNKS ("\r\nhello\r\n0\r\n\r\n") },
  { "bad-chunk-size", CHUNKS (";a\r\nhello\r\n0\r\n\r\n") },
  { "bad-chunk-size", CHUNKS ("0x5\r\nhello\r\n0\r\n\r\n") },
  { "bad-chunk-size", CHUNKS ("+5\r\nhello\r\n0\r\n\r\n") },
  { "bad-chunk-size", CHUNKS ("-5\r\nhello\r\n0\r\n\r\n") },
  { "bad-chunk-size", CHUNKS (" 5\r\nhello\r\n0\r\n\r\n") },
  { "bad-chunk-size", CHUNKS ("5 \r\nhello\r\n0\r\n\r\n") },
  { "bad-chunk-size", CHUNKS ("5 5\r\nhello\r\n0\r\n\r\n") },
  { "bad-chunk-size", CHUNKS ("5,\r\nhello\r\n0\r\n\r\n") },
  { "bad-chunk-size", CHUNKS ("5g\r\nhello\r\n0\r\n\r\n") },
  { "bad-chunk-size", CHUNKS ("0000000000000005\r\nhello\r\n0\r\n\r\n") },
  { "bad-chunk-size", CHUNKS ("0000000000000000\r\n\r\n") },
  { "bad-chunk-size", CHUNKS ("10000000000000005\r\nhello\r\n0\r\n\r\n") },
  { "bad-chunk-end", CHUNKS ("5\r\nhello0\r\n\r\n") },
  { "bad-chunk-end", CHUNKS ("5\r\nhello\n0\r\n\r\n") },
  { "bad-chunk-end", CHUNKS ("5\r\nhello\r0\r\n\r\n") },
  { "bad-chunk-end", CHUNKS ("4\r\nhello\r\n0\r\n\r\n") },
  { "bad-chunk-end", CHUNKS ("6\r\nhello\r\n0\r\n\r\n") },
  { "bad-chunk-end", CHUNKS ("7\r\nhello\r\n0\r\n\r\n") },
  { "bad-line-end", CHUNKS ("5\nhello\r\n0\r\n\r\n") },
  { "bad-character", CHUNKS ("5\r\r\nhello\r\n0\r\n\r\n") },
  { "bad-character", CHUNKS ("5;\x01\r\nhello\r\n0\r\n\r\n") },
  { "bad-character", CHUNKS ("5;\x7f\r\nhello\r\n0\r\n\r\n") },
  { "bad-line-end", CHUNKS ("0\n\r\n") },
  { "bad-line-end", CHUNKS ("0\r\n\n") },
  { "bad-character", CHUNKS ("0\r\n\r\r\n") },
  { "bad-header", CHUNKS ("0\r\nA\r\n\r\n") },
  { "bad-header", CHUNKS ("0\r\nA : b\r\n\r\n") },
  { "folded-line", CHUNKS ("0\r\nA: b\r\n c\r\n\r\n") },
  { "bad-header", CHUNKS ("0\r\n0\r\n\r\n") },
  { "bad-line-end", HEAD ("A: b\nContent-Length: 5") },
  { "bad-line-end", BYTES ("HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n") },
  { "bad-line-end", BYTES ("HTTP/1.1 200 OK\r\nContent-Length: 0\n\r\n") },
  { "bad-line-end", BYTES ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\n") },
  { "bad-line-end", BYTES ("HTTP/1.1 200 OK\n\n") },
  { "bad-line-end", BYTES ("HTTP/1.1 200 OK\r\n\n\r") },
  { "bad-character", HEAD ("A: b\rContent-Length: 5") },
  { "bad-character", HEAD ("A: b\r\r\nContent-Length: 5") },
  { "bad-character", HEAD ("\rContent-Length: 5") },
  { "bad-character", BYTES ("HTTP/1.1 200 OK\r\r\n\r\n") },
  { "bad-character", BYTES ("HTTP/1.1 200 OK\r\n\r\r\n") },
  { "folded-line", HEAD ("A: b\r\n c: d\r\nContent-Length: 5") },
  { "folded-line", HEAD ("A: b\r\n\tc\r\nContent-Length: 5") },
  { "bad-length", HEAD ("Content-Length:\r\n 5") },
  { "folded-line", HEAD (" Content-Length: 5") },
  { "folded-line", HEAD (" ") },
  { "bad-header", HEAD ("Content-Length : 5") },
  { "bad-header", HEAD ("Content-Length\t: 5") },
  { "bad-header", HEAD ("Content Length: 5") },
  { "bad-header", HEAD ("Content-Length") },
  { "bad-header", HEAD (": 5") },
  { "bad-header", HEAD ("Content-Length: 5\r\n:") },
  { "bad-header", HEAD ("\xe9: 5") },
  { "bad-character", HEAD ("Content-Length\0: 5") },
  { "bad-character", HEAD ("A\0: b\r\nContent-Length: 5") },
  { "bad-character", HEAD ("A: b\0c\r\nContent-Length: 5") },
  { "bad-character", HEAD ("Content-Length: 5\0") },
  { "bad-character", HEAD ("Content-Length: \x0b 5") },
  { "bad-character", HEAD ("Transfer-Encoding: \x0c"
                           "chunked") },
  { "bad-character", HEAD ("Transfer-Encoding: chunked\x7f") },
  { "bad-character", BYTES ("HTTP/1.1 200 O\0K\r\n\r\n") },
  { "bad-character", BYTES ("HTTP/1.1 200\0\r\n\r\n") },
  { "bad-status-line", BYTES ("\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") },
  { "bad-line-end", BYTES ("\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") },
  { "bad-status-line", STATUS_LINE (" HTTP/1.1 200 OK") },
  { "bad-status-line", STATUS_LINE ("HTTP/2 200") },
  { "bad-status-line", STATUS_LINE ("HTTP/2.0 200 OK") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.2 200 OK") },
  { "bad-status-line", STATUS_LINE ("HTTP/0.9 200 OK") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.10 200 OK") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.1200 OK") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.1") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.1 ") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.1 2") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.1 20") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.1 2x0") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.1 20 X") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.1  200 OK") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.1\t200 OK") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.1 200\tOK") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.1 200OK") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.1 2000 OK") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.1 +20 OK") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.1 099") },
  { "bad-status-line", STATUS_LINE ("HTTP/1.1 600") },
  { "bad-status-line", STATUS_LINE ("http/1.1 200 OK") },
  { "bad-status-line", STATUS_LINE ("ICY 200 OK") },
  { "bad-status-line", STATUS_LINE ("200 OK") },
  { "unexpected-upgrade", STATUS_LINE ("HTTP/1.1 101 Switching Protocols") },
  { "unexpected-upgrade", BYTES ("HTTP/1.1 100\r\n\r\nHTTP/1.1 101\r\n\r\n") },
  { "informational-in-http-1.0", STATUS_LINE ("HTTP/1.0 100 Continue") },
  { "too-many-informational",
    BYTES ("HTTP/1.1 100\r\n\r\nHTTP/1.1 102\r\n\r\nHTTP/1.1 103\r\n\r\nHTTP/1.1 104\r\n\r\n"
           "HTTP/1.1 199\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\n"
           "HTTP/1.1 100\r\n\r\nHTTP/1.1 204\r\n\r\n") },
  { "unexpected-body", BYTES ("HTTP/1.1 204 -\r\nContent-Length: 5\r\n\r\nhello") },
  { "unexpected-body", true, BYTES ("HTTP/1.1 204 -\r\nContent-Length: 5\r\n\r\n") },
  { "unexpected-body", BYTES ("HTTP/1.1 204 -\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") },
  { "unexpected-body",
    BYTES ("HTTP/1.1 100 -\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 204\r\n\r\n") },
  { "unexpected-body",
    BYTES ("HTTP/1.1 103 -\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nHTTP/1.1 204\r\n\r\n") },
  { "bad-status-line",
    BYTES ("HTTP/1.1 100 -\r\n\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") },
};

static void
assert_same (const char *name, const char *what, size_t at, const Reading *a, const Reading *b)
{
  const char *difference = reading_difference (a, b);

  if (difference != NULL)
    ck_abort_msg ("%s: %s at byte %zu gives another %s", name, what, at, difference);
}

static void
assert_consistent (const char *name, const Reading *reading, size_t length)
{
  const char *inconsistency = reading_inconsistency (reading, length);

  if (inconsistency != NULL)
    ck_abort_msg ("%s, %zu bytes: %s", name, length, inconsistency);
}

/* Compares the reading of all BYTES with those byte by byte and in two pieces, split at FIRST_SPLIT
 * or behind, both before and after the end of the connection. */
static void
assert_same_at_splits (const char *name,
                       bool head_request,
                       const char *bytes,
                       size_t length,
                       size_t first_split)
{
  Reading whole = reading_whole (head_request, bytes, length);
  Reading bytewise = reading_bytewise (head_request, bytes, length);

  assert_consistent (name, &whole, length);
  assert_same (name, "every split", 0, &whole, &bytewise);
  for (size_t split = first_split; split <= length; split++)
    {
      Reading in_two = reading_in_two (head_request, bytes, length, split);
      assert_same (name, "a split", split, &whole, &in_two);
      reading_free (&in_two);
    }
  gs_answer_parser_end (whole.parser);
  gs_answer_parser_end (bytewise.parser);
  assert_consistent (name, &whole, length);
  assert_same (name, "the end", length, &whole, &bytewise);
  reading_free (&whole);
  reading_free (&bytewise);
}

static void
assert_split_is_irrelevant (const char *name, bool head_request, const char *bytes, size_t length)
{
  assert_same_at_splits (name, head_request, bytes, length, 0);
}

static char *
join_headers (const GPtrArray *headers)
{
  GString *joined = g_string_new (NULL);

  for (guint i = 0; i + 1 < headers->len; i += 2)
    g_string_append_printf (joined, "%s=%s;", (char *)g_ptr_array_index (headers, i),
                            (char *)g_ptr_array_index (headers, i + 1));
  return g_string_free (joined, FALSE);
}

static void
assert_expected (const ValidAnswer *answer, const Reading *reading)
{
  g_autofree char *headers = join_headers (gs_answer_parser_headers (reading->parser));
  bool ends_with_connection = answer->framing == GS_ANSWER_FRAMING_CLOSE;

  ck_assert_msg (reading_state (reading)
                     == (ends_with_connection ? GS_ANSWER_BODY : GS_ANSWER_COMPLETE),
                 "%s: state %d, reason %s", answer->name, reading_state (reading),
                 gs_answer_parser_reason (reading->parser));
  ck_assert_uint_eq (reading->consumed, answer->length);
  ck_assert_uint_eq (gs_answer_parser_status (reading->parser), answer->status);
  ck_assert_int_eq (gs_answer_parser_framing (reading->parser), answer->framing);
  ck_assert_int_eq (gs_answer_parser_length (reading->parser), answer->stated_length);
  ck_assert_msg (gs_answer_parser_keeps_connection (reading->parser) == answer->keeps_connection,
                 "%s: keeps_connection", answer->name);
  ck_assert_str_eq (headers, answer->headers);
  ck_assert_msg (reading_has_body (reading, answer->body, strlen (answer->body)), "%s: body",
                 answer->name);
}

/* Guards against a result that depends on how the network split the answer. */
START_TEST (valid_answers_are_complete_at_every_split)
{
  for (size_t i = 0; i < G_N_ELEMENTS (valid_answers); i++)
    {
      const ValidAnswer *answer = &valid_answers[i];
      Reading whole = reading_whole (answer->head_request, answer->bytes, answer->length);

      assert_expected (answer, &whole);
      assert_split_is_irrelevant (answer->name, answer->head_request, answer->bytes,
                                  answer->length);
      reading_free (&whole);
    }
}
END_TEST

/* RETURN VALUE: length of the answer's head, and of those of informational answers before it. */
static size_t
head_length (const ValidAnswer *answer)
{
  size_t length = 0;

  for (;;)
    {
      Reading reading = reading_whole (answer->head_request, answer->bytes, length);
      bool is_head = reading_state (&reading) == GS_ANSWER_HEAD;
      reading_free (&reading);
      if (!is_head)
        return length;
      ck_assert_uint_lt (length, answer->length);
      length++;
    }
}

static void
assert_truncated (const ValidAnswer *answer, size_t length, size_t head_len)
{
  Reading reading = reading_whole (answer->head_request, answer->bytes, length);
  bool ends_with_connection = answer->framing == GS_ANSWER_FRAMING_CLOSE && length >= head_len;
  const char *reason = length == 0         ? "closed-before-answer"
                       : length < head_len ? "closed-in-head"
                                           : "closed-in-body";

  ck_assert_msg (reading_state (&reading) == (length < head_len ? GS_ANSWER_HEAD : GS_ANSWER_BODY),
                 "%s: state %d after %zu bytes", answer->name, reading_state (&reading), length);
  assert_consistent (answer->name, &reading, length);
  gs_answer_parser_end (reading.parser);
  ck_assert_msg (reading_state (&reading)
                     == (ends_with_connection ? GS_ANSWER_COMPLETE : GS_ANSWER_INCOMPLETE),
                 "%s: state %d when it ends after %zu bytes", answer->name,
                 reading_state (&reading), length);
  ck_assert_pstr_eq (gs_answer_parser_reason (reading.parser),
                     ends_with_connection ? NULL : reason);
  if (ends_with_connection)
    ck_assert_uint_eq (reading.body->len, length - head_len);
  assert_consistent (answer->name, &reading, length);
  reading_free (&reading);
}

/* Guards against an answer that ended early and is passed on as complete. */
START_TEST (truncated_answers_are_incomplete_at_every_byte)
{
  for (size_t i = 0; i < G_N_ELEMENTS (valid_answers); i++)
    {
      const ValidAnswer *answer = &valid_answers[i];
      size_t head_len = head_length (answer);
      bool ends_with_connection = answer->framing == GS_ANSWER_FRAMING_CLOSE;

      ck_assert_mem_eq (&answer->bytes[head_len - 4], "\r\n\r\n", 4);
      if (ends_with_connection)
        ck_assert_uint_eq (head_len, answer->length - strlen (answer->body));
      for (size_t length = 0; length < answer->length; length++)
        assert_truncated (answer, length, head_len);
      if (ends_with_connection)
        assert_truncated (answer, answer->length, head_len);
    }
}
END_TEST

/* Guards against bytes of the next answer that are taken into the one before. */
START_TEST (bytes_after_an_answer_are_not_consumed)
{
  for (size_t i = 0; i < G_N_ELEMENTS (valid_answers); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (valid_answers); j++)
      {
        const ValidAnswer *first = &valid_answers[i];
        const ValidAnswer *second = &valid_answers[j];
        g_autoptr (GString) both = g_string_new_len (first->bytes, (gssize)first->length);

        if (first->framing == GS_ANSWER_FRAMING_CLOSE)
          continue;
        g_string_append_len (both, second->bytes, (gssize)second->length);
        for (size_t split = 0; split <= both->len; split++)
          {
            Reading reading = reading_in_two (first->head_request, both->str, both->len, split);
            if (reading.consumed != first->length || reading_state (&reading) != GS_ANSWER_COMPLETE)
              ck_abort_msg ("%s, then %s: %zu bytes consumed at split %zu", first->name,
                            second->name, reading.consumed, split);
            if (split == 0)
              assert_expected (first, &reading);
            reading_free (&reading);
          }
      }
}
END_TEST

static void
assert_malformed (const char *reason, bool head_request, const char *bytes, size_t length)
{
  Reading whole = reading_whole (head_request, bytes, length);

  ck_assert_msg (reading_state (&whole) == GS_ANSWER_MALFORMED, "%s: state %d: %.80s", reason,
                 reading_state (&whole), bytes);
  ck_assert_str_eq (gs_answer_parser_reason (whole.parser), reason);
  reading_free (&whole);
  assert_split_is_irrelevant (reason, head_request, bytes, length);
}

/* Guards against a smuggled answer: two readers that disagree on where an answer ends. */
START_TEST (malformed_answers_are_refused_at_every_split)
{
  for (size_t i = 0; i < G_N_ELEMENTS (malformed_answers); i++)
    {
      const MalformedAnswer *answer = &malformed_answers[i];
      assert_malformed (answer->reason, answer->head_request, answer->bytes, answer->length);
    }
}
END_TEST

/* Guards against a malformed answer that is complete because it was cut off in time. */
START_TEST (malformed_answers_are_never_complete_when_truncated)
{
  for (size_t i = 0; i < G_N_ELEMENTS (malformed_answers); i++)
    for (size_t length = 0; length <= malformed_answers[i].length; length++)
      {
        const MalformedAnswer *answer = &malformed_answers[i];
        Reading reading = reading_whole (answer->head_request, answer->bytes, length);

        ck_assert_int_ne (reading_state (&reading), GS_ANSWER_COMPLETE);
        gs_answer_parser_end (reading.parser);
        ck_assert_int_ne (reading_state (&reading), GS_ANSWER_COMPLETE);
        assert_consistent (answer->reason, &reading, length);
        reading_free (&reading);
      }
}
END_TEST

/* Guards against a damaged byte that is read in two ways, or that makes a body of bytes that were
 * not received. */
START_TEST (every_damaged_byte_gives_one_result)
{
  for (size_t i = 0; i < G_N_ELEMENTS (valid_answers); i++)
    {
      const ValidAnswer *answer = &valid_answers[i];
      g_autofree char *damaged = g_memdup2 (answer->bytes, answer->length);

      for (size_t at = 0; at < answer->length; at++)
        {
          for (int byte = 0; byte < 256; byte++)
            {
              Reading whole;
              Reading bytewise;

              damaged[at] = (char)byte;
              whole = reading_whole (answer->head_request, damaged, answer->length);
              bytewise = reading_bytewise (answer->head_request, damaged, answer->length);
              assert_consistent (answer->name, &whole, answer->length);
              assert_same (answer->name, "damage", at, &whole, &bytewise);
              gs_answer_parser_end (whole.parser);
              assert_consistent (answer->name, &whole, answer->length);
              reading_free (&whole);
              reading_free (&bytewise);
            }
          damaged[at] = answer->bytes[at];
        }
    }
}
END_TEST

/* RETURN VALUE: reason why the answer, whose connection then ends, is malformed, or NULL when it
 * is complete. */
static const char *
refusal (const GString *bytes)
{
  Reading reading = reading_whole (false, bytes->str, bytes->len);
  const char *reason;

  gs_answer_parser_end (reading.parser);
  reason = gs_answer_parser_reason (reading.parser);
  ck_assert_int_eq (reading_state (&reading),
                    reason == NULL ? GS_ANSWER_COMPLETE : GS_ANSWER_MALFORMED);
  reading_free (&reading);
  return reason;
}

/* Guards against status codes that are read as another one, and against bodies where none is. */
START_TEST (every_status_code_has_its_framing)
{
  for (uint32_t code = 0; code < 1000; code++)
    {
      g_autofree char *bytes = g_strdup_printf ("HTTP/1.1 %03u\r\n\r\n", code);
      Reading reading = reading_whole (false, bytes, strlen (bytes));
      GsAnswerState expected = code < 100 || code > 599 || code == 101 ? GS_ANSWER_MALFORMED
                               : code < 200                            ? GS_ANSWER_HEAD
                               : code == 204 || code == 304            ? GS_ANSWER_COMPLETE
                                                                       : GS_ANSWER_BODY;

      ck_assert_int_eq (reading_state (&reading), expected);
      ck_assert_uint_eq (gs_answer_parser_status (reading.parser),
                         code >= 200 && code <= 599 ? code : 0);
      reading_free (&reading);
    }
}
END_TEST

/* Guards against bytes that other readers take for a separator, or do not accept. */
START_TEST (every_byte_is_accepted_only_where_it_belongs)
{
  static const char token_punctuation[] = "!#$%&'*+-.^_`|~";

  for (int byte = 0; byte < 256; byte++)
    {
      bool is_text = byte == '\t' || (byte >= 0x20 && byte != 0x7f);
      bool is_token = byte != 0 && byte < 0x80
                      && (g_ascii_isalnum (byte) || strchr (token_punctuation, byte) != NULL);
      g_autoptr (GString) bytes = g_string_new (NULL);

      g_string_printf (bytes, "HTTP/1.1 200 O%cK\r\n\r\n", byte);
      ck_assert_int_eq (refusal (bytes) == NULL, is_text);
      g_string_printf (bytes, "HTTP/1.1 200 OK\r\nA: b%cc\r\n\r\n", byte);
      ck_assert_int_eq (refusal (bytes) == NULL, is_text);
      g_string_printf (bytes, "HTTP/1.1 200 OK\r\na%c: b\r\n\r\n", byte);
      ck_assert_int_eq (refusal (bytes) == NULL, is_token || byte == ':');
      g_string_printf (bytes, "HTTP/1.1 200 OK\r\n%ca: b\r\n\r\n", byte);
      ck_assert_int_eq (refusal (bytes) == NULL, is_token);
      g_string_printf (bytes, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0;%c\r\n\r\n",
                       byte);
      ck_assert_int_eq (refusal (bytes) == NULL, is_text);
      g_string_printf (
          bytes, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n%ca: b\r\n\r\n", byte);
      ck_assert_int_eq (refusal (bytes) == NULL, is_token);
    }
}
END_TEST

/* RETURN VALUE: a complete answer with a head of LENGTH bytes. */
static GString *
answer_with_head (size_t length)
{
  GString *bytes = g_string_new ("HTTP/1.1 204\r\nA: ");
  g_autofree char *value = g_strnfill (length - bytes->len - 4, 'a');

  g_string_append (bytes, value);
  return g_string_append (bytes, "\r\n\r\n");
}

/* Guards against a head of any length that is collected in memory. */
START_TEST (length_of_the_head_is_limited)
{
  g_autoptr (GString) longest = answer_with_head (GS_ANSWER_HEAD_BYTES_MAX);
  g_autoptr (GString) too_long = answer_with_head (GS_ANSWER_HEAD_BYTES_MAX + 1);
  Reading reading = reading_whole (false, too_long->str, too_long->len);

  ck_assert_ptr_null (refusal (longest));
  ck_assert_str_eq (refusal (too_long), "head-too-long");
  ck_assert_uint_eq (reading.consumed, GS_ANSWER_HEAD_BYTES_MAX);
  reading_free (&reading);
  /* Only the last splits, to save time: those before are all within one value. */
  assert_same_at_splits ("too long", false, too_long->str, too_long->len, too_long->len - 100);
}
END_TEST

/* Guards against limits that a server evades with informational answers or with trailers. */
START_TEST (limit_of_the_head_includes_all_heads_and_trailers)
{
  g_autoptr (GString) longest = answer_with_head (GS_ANSWER_HEAD_BYTES_MAX - 16);
  g_autoptr (GString) bytes = g_string_new ("HTTP/1.1 100\r\n\r\n");
  g_autoptr (GString) trailers
      = g_string_new ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ");
  size_t other_bytes = trailers->len - strlen ("0\r\n") + strlen ("\r\n\r\n");
  g_autofree char *value = g_strnfill (GS_ANSWER_HEAD_BYTES_MAX - other_bytes, 'a');

  g_string_append (bytes, longest->str);
  ck_assert_uint_eq (bytes->len, GS_ANSWER_HEAD_BYTES_MAX);
  ck_assert_ptr_null (refusal (bytes));
  g_string_insert (bytes, strlen ("HTTP/1.1 100"), " ");
  ck_assert_str_eq (refusal (bytes), "head-too-long");

  g_string_append (trailers, value);
  g_string_append (trailers, "\r\n\r\n");
  ck_assert_ptr_null (refusal (trailers));
  g_string_insert (trailers, strlen ("HTTP/1.1 200"), " ");
  ck_assert_str_eq (refusal (trailers), "head-too-long");
}
END_TEST

static void
append_headers (GString *bytes, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    g_string_append (bytes, "A:\r\n");
}

/* Guards against a list of headers of any length that is collected in memory. */
START_TEST (number_of_headers_and_trailers_is_limited)
{
  for (uint32_t count = GS_ANSWER_HEADERS_MAX; count <= GS_ANSWER_HEADERS_MAX + 1; count++)
    {
      const char *expected = count > GS_ANSWER_HEADERS_MAX ? "too-many-headers" : NULL;
      g_autoptr (GString) headers = g_string_new ("HTTP/1.1 204\r\n");
      g_autoptr (GString) with_informational = g_string_new ("HTTP/1.1 100\r\n");
      g_autoptr (GString) trailers
          = g_string_new ("HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");

      append_headers (headers, count);
      g_string_append (headers, "\r\n");
      ck_assert_pstr_eq (refusal (headers), expected);
      assert_split_is_irrelevant ("headers", false, headers->str, headers->len);

      append_headers (with_informational, count - 1);
      g_string_append (with_informational, "\r\nHTTP/1.1 204\r\nA:\r\n\r\n");
      ck_assert_pstr_eq (refusal (with_informational), expected);

      append_headers (trailers, count - 1);
      g_string_append (trailers, "\r\n");
      ck_assert_pstr_eq (refusal (trailers), expected);
      assert_split_is_irrelevant ("trailers", false, trailers->str, trailers->len);
    }
}
END_TEST

/* Guards against a chunk extension of any length that is collected in memory. */
START_TEST (length_of_a_chunk_line_is_limited)
{
  for (size_t excess = 0; excess <= 1; excess++)
    {
      g_autofree char *extension
          = g_strnfill (GS_ANSWER_CHUNK_LINE_BYTES_MAX - strlen ("2;") + excess, 'a');
      g_autoptr (GString) bytes = g_string_new ("HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n");

      g_string_append_printf (bytes, "\r\n2;%s\r\nok\r\n0\r\n\r\n", extension);
      ck_assert_pstr_eq (refusal (bytes), excess > 0 ? "chunk-line-too-long" : NULL);
      assert_split_is_irrelevant ("chunk line", false, bytes->str, bytes->len);
    }
}
END_TEST

/* RETURN VALUE: processor time to read COUNT answers, each with a head of LENGTH bytes, byte by
 * byte. */
static double
time_heads_s (size_t length, int count)
{
  g_autoptr (GString) bytes = answer_with_head (length);
  clock_t start = clock ();

  for (int i = 0; i < count; i++)
    {
      Reading reading = reading_bytewise (false, bytes->str, bytes->len);
      ck_assert_int_eq (reading_state (&reading), GS_ANSWER_COMPLETE);
      reading_free (&reading);
    }
  return (double)(clock () - start) / CLOCKS_PER_SEC;
}

/* Guards against a parser that goes through the head from its start for every byte. */
START_TEST (time_for_a_byte_does_not_grow_with_the_head)
{
  double of_long_heads_s = time_heads_s (GS_ANSWER_HEAD_BYTES_MAX, 16);
  double of_short_heads_s = time_heads_s (GS_ANSWER_HEAD_BYTES_MAX / 64, 16 * 64);

  ck_assert_double_lt (of_long_heads_s, 4 * of_short_heads_s);
}
END_TEST

/* Guards against an answer that changes after it has ended. */
START_TEST (ended_answers_stay_as_they_are)
{
  static const char *const answers[]
      = { "HTTP/1.1 204\r\n\r\n", "HTTP/1.1 200\r\n\r\nx", "HTTP/1.1 20", "HTTP/2 200\r\n" };
  static const GsAnswerState states[]
      = { GS_ANSWER_COMPLETE, GS_ANSWER_COMPLETE, GS_ANSWER_INCOMPLETE, GS_ANSWER_MALFORMED };

  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      Reading reading = reading_whole (false, answers[i], strlen (answers[i]));
      size_t consumed = reading.consumed;
      guint body_len = reading.body->len;

      gs_answer_parser_end (reading.parser);
      reading_feed (&reading, "HTTP/1.1 200 OK\r\n\r\nx", 20);
      gs_answer_parser_end (reading.parser);
      ck_assert_int_eq (reading_state (&reading), states[i]);
      ck_assert_uint_eq (reading.consumed, consumed);
      ck_assert_uint_eq (reading.body->len, body_len);
      reading_free (&reading);
    }
}
END_TEST

/* Guards against chunk data that is delivered only when its chunk is complete. */
START_TEST (body_is_delivered_as_it_arrives)
{
  static const char bytes[] = "HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "fffffffffffffff\r\nabc";
  Reading reading = reading_whole (false, bytes, strlen (bytes));

  ck_assert_uint_eq (reading.body->len, 3);
  ck_assert_int_eq (reading_state (&reading), GS_ANSWER_BODY);
  g_byte_array_set_size (reading.body, 0);
  reading_feed (&reading, "d", 1);
  ck_assert_uint_eq (reading.body->len, 1);
  ck_assert_int_eq (reading.body->data[0], 'd');
  reading_free (&reading);
}
END_TEST

/* Guards against what an informational answer states that is taken for the final answer's. */
START_TEST (informational_head_is_not_shown)
{
  static const char bytes[]
      = "HTTP/1.1 103\r\nA: b\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

  for (size_t length = 0; length <= strlen (bytes); length++)
    {
      Reading reading = reading_whole (false, bytes, length);

      ck_assert_int_eq (reading_state (&reading), GS_ANSWER_HEAD);
      ck_assert_uint_eq (gs_answer_parser_status (reading.parser), 0);
      ck_assert_int_eq (gs_answer_parser_length (reading.parser), -1);
      ck_assert_uint_eq (gs_answer_parser_headers (reading.parser)->len, 0);
      reading_free (&reading);
    }
}
END_TEST

START_TEST (framings_have_names)
{
  ck_assert_str_eq (gs_answer_framing_name (GS_ANSWER_FRAMING_UNKNOWN), "unknown");
  ck_assert_str_eq (gs_answer_framing_name (GS_ANSWER_FRAMING_NO_BODY), "no-body");
  ck_assert_str_eq (gs_answer_framing_name (GS_ANSWER_FRAMING_LENGTH), "length");
  ck_assert_str_eq (gs_answer_framing_name (GS_ANSWER_FRAMING_CHUNKED), "chunked");
  ck_assert_str_eq (gs_answer_framing_name (GS_ANSWER_FRAMING_CLOSE), "close");
}
END_TEST

FIXTURE_MAIN ("answer_parser",
              &valid_answers_are_complete_at_every_split,
              &truncated_answers_are_incomplete_at_every_byte,
              &bytes_after_an_answer_are_not_consumed,
              &malformed_answers_are_refused_at_every_split,
              &malformed_answers_are_never_complete_when_truncated,
              &every_damaged_byte_gives_one_result,
              &every_status_code_has_its_framing,
              &every_byte_is_accepted_only_where_it_belongs,
              &length_of_the_head_is_limited,
              &limit_of_the_head_includes_all_heads_and_trailers,
              &number_of_headers_and_trailers_is_limited,
              &length_of_a_chunk_line_is_limited,
              &time_for_a_byte_does_not_grow_with_the_head,
              &ended_answers_stay_as_they_are,
              &body_is_delivered_as_it_arrives,
              &informational_head_is_not_shown,
              &framings_have_names)
