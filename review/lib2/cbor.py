"""CBOR as far as PROTOCOL uses it: maps with text keys, lists, text, numbers, booleans and null."""

import struct


def _head(major, n):
    if n < 24:
        return bytes([major << 5 | n])
    if n < 1 << 8:
        return bytes([major << 5 | 24, n])
    if n < 1 << 16:
        return struct.pack(">BH", major << 5 | 25, n)
    if n < 1 << 32:
        return struct.pack(">BI", major << 5 | 26, n)
    return struct.pack(">BQ", major << 5 | 27, n)


def _encode(value, out):
    if value is None:
        out.append(b"\xf6")
    elif value is True:
        out.append(b"\xf5")
    elif value is False:
        out.append(b"\xf4")
    elif isinstance(value, int):
        out.append(_head(0, value) if value >= 0 else _head(1, -1 - value))
    elif isinstance(value, float):
        out.append(struct.pack(">Bd", 0xFB, value))
    elif isinstance(value, str):
        text = value.encode()
        out.append(_head(3, len(text)))
        out.append(text)
    elif isinstance(value, (list, tuple)):
        out.append(_head(4, len(value)))
        for item in value:
            _encode(item, out)
    elif isinstance(value, dict):
        out.append(_head(5, len(value)))
        for key, item in value.items():
            _encode(key, out)
            _encode(item, out)
    else:
        raise TypeError(type(value))


def encode(value):
    out = []
    _encode(value, out)
    return b"".join(out)


def list_head(count):
    """The first bytes of a list of `count` items."""
    return _head(4, count)


_FLOATS = {25: ">e", 26: ">f", 27: ">d"}


def _decode(data, at):
    first = data[at]
    major, info = first >> 5, first & 31
    at += 1
    if major == 7:
        if info in _FLOATS:
            size = 1 << (info - 24)
            return struct.unpack(_FLOATS[info], data[at:at + size])[0], at + size
        return {20: False, 21: True, 22: None, 23: None}[info], at
    if info < 24:
        n = info
    elif info < 28:
        size = 1 << (info - 24)
        n = int.from_bytes(data[at:at + size], "big")
        at += size
    else:
        n = None
    if major == 0:
        return n, at
    if major == 1:
        return -1 - n, at
    if major in (2, 3):
        if n is None:
            parts = []
            while data[at] != 0xFF:
                part, at = _decode(data, at)
                parts.append(part)
            return "".join(parts), at + 1
        if at + n > len(data):
            raise ValueError("short")
        return data[at:at + n].decode(), at + n
    if major == 4:
        items = []
        while (n is None and data[at] != 0xFF) or (n is not None and len(items) < n):
            item, at = _decode(data, at)
            items.append(item)
        return items, at + (n is None)
    if major == 5:
        found, count = {}, 0
        while (n is None and data[at] != 0xFF) or (n is not None and count < n):
            key, at = _decode(data, at)
            found[key], at = _decode(data, at)
            count += 1
        return found, at + (n is None)
    raise ValueError("unexpected item")


def decode(data):
    value, at = _decode(data, 0)
    if at != len(data):
        raise ValueError("bytes after the item")
    return value
