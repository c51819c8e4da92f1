vcl 4.1;
backend origin { .host = "127.0.0.1"; .port = "18080"; .max_connections = 256; }
