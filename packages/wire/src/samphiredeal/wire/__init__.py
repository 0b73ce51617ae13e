"""Messages between samphiredeal's processes, their encoding and framing."""
